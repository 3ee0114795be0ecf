#ifndef PAPAYAGLADE_STATE_SHARD_MESSAGES_H_
#define PAPAYAGLADE_STATE_SHARD_MESSAGES_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "state/configuration.h"
#include "state/identity.h"

namespace papayaglade {

/// One attempt at one shard; the id is never reused by its entry instance.
struct shard_attempt {
  std::uint64_t attempt_id = 0;
  std::string shard;
  std::string upstream;
};

/// All attempts of one query for the upstreams of one steward.
struct shard_batch {
  instance_identity origin;  ///< The entry instance.
  std::string request_id;
  std::string service;
  std::string workload;
  std::string caller;
  request_class priority = request_class::kCounter;
  bool repeatable = true;
  std::uint64_t snapshot = 0;
  std::string query;
  std::chrono::microseconds time_left{0};  ///< Until the deadline, at sending.
  std::vector<shard_attempt> attempts;
};

/// How one attempt ended.
enum class shard_status {
  kAnswered,
  kNotRun,        ///< Proven: refused before running or never sent.
  kLost,          ///< May have run; no answer.
  kSnapshotGone,  ///< The upstream does not hold the pinned snapshot.
};

/// Why an attempt did not answer.
enum class shard_reason {
  kNone,
  kNoSteward,         ///< No instance is known to be steward.
  kNotSteward,        ///< The receiver is not steward of the upstream.
  kStandingUnproven,  ///< Steward cannot prove its lease; upstream is cold.
  kCold,              ///< The limit of a cold upstream is used up.
  kLeaving,
  kDataCentreOut,
  kQueueFull,
  kDeadline,         ///< The deadline could not be met or has passed.
  kUpstreamRefused,  ///< The upstream shed the request.
  kUpstreamLost,     ///< The connection broke or went silent.
  kUpstreamDown,     ///< The upstream refuses connections.
  kPeerUnreachable,  ///< The link to the steward is down.
  kCancelled,
  kUpstreamError,  ///< The upstream's reply could not be understood.
  kSnapshotGone,   ///< No replica holds the snapshot; only said by an entry.
};

/// Returns the stable wire name of `reason`, such as "standing_unproven".
const char* ShardReasonName(shard_reason reason);

/// One search result; `key` identifies duplicates across shards.
struct hit {
  std::string key;
  double score = 0;
  std::string text;
};

/// The end of one attempt.
struct shard_result {
  std::uint64_t attempt_id = 0;
  shard_status status = shard_status::kLost;
  shard_reason reason = shard_reason::kNone;
  std::uint64_t snapshot = 0;  ///< The snapshot of the hits.
  std::vector<hit> hits;
  std::vector<std::uint64_t> snapshots_held;  ///< With kSnapshotGone.
  std::chrono::microseconds queue_time{0};
  std::chrono::microseconds upstream_time{0};
};

/// Results of one or more attempts for one entry instance.
struct shard_results {
  std::vector<shard_result> results;
};

/// Withdraws attempts whose results are no longer needed.
struct shard_cancel {
  instance_identity origin;
  std::vector<std::uint64_t> attempt_ids;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_STATE_SHARD_MESSAGES_H_
