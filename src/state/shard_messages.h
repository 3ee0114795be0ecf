#ifndef PAPAYAGLADE_STATE_SHARD_MESSAGES_H_
#define PAPAYAGLADE_STATE_SHARD_MESSAGES_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "state/configuration.h"
#include "state/identity.h"

namespace papayaglade {

/// One attempt at one shard. Its entry instance never reuses the id.
struct shard_attempt {
  std::uint64_t attempt_id = 0;
  std::string shard;
  std::string upstream;
};

/// All attempts of one query at the upstreams of one steward.
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
  /// Time until the deadline when the batch was sent.
  std::chrono::microseconds time_left{0};
  std::vector<shard_attempt> attempts;
};

/// The outcome of one attempt.
enum class shard_status {
  kAnswered,
  kNotRun,        ///< Proven: rejected before it ran, or never sent.
  kLost,          ///< No answer; the attempt may have run.
  kSnapshotGone,  ///< The upstream lacks the pinned snapshot.
};

/// The reason why an attempt was not answered.
enum class shard_reason {
  kNone,
  kNoSteward,   ///< No known instance is the upstream's steward.
  kNotSteward,  ///< The receiver is not the upstream's steward.
  /// The steward cannot prove its lease, so it treats the upstream as cold.
  kStandingUnproven,
  kCold,  ///< The cold upstream is at its limit.
  kLeaving,
  kDataCentreOut,
  kQueueFull,
  kDeadline,         ///< The deadline has passed or cannot be met.
  kUpstreamRefused,  ///< The upstream shed the request (overload).
  kUpstreamLost,     ///< The connection broke or stopped responding.
  kUpstreamDown,     ///< The upstream refuses connections.
  kPeerUnreachable,  ///< The link to the steward is down.
  kCancelled,
  kUpstreamError,  ///< The upstream's reply is malformed.
  kSnapshotGone,   ///< No replica has it; only an entry instance sets this.
};

/// Returns the stable wire name of `reason`, such as "standing_unproven".
const char* ShardReasonName(shard_reason reason);

/// One search result; `key` identifies duplicates across shards.
struct hit {
  std::string key;
  double score = 0;
  std::string text;
};

/// The result of one attempt.
struct shard_result {
  std::uint64_t attempt_id = 0;
  shard_status status = shard_status::kLost;
  shard_reason reason = shard_reason::kNone;
  std::uint64_t snapshot = 0;  ///< The snapshot of the hits.
  std::vector<hit> hits;
  std::vector<std::uint64_t> snapshots_held;  ///< Set for kSnapshotGone.
  std::chrono::microseconds queue_time{0};
  std::chrono::microseconds upstream_time{0};
};

/// Results of one or more attempts for one entry instance.
struct shard_results {
  std::vector<shard_result> results;
};

/// Cancels attempts whose results are no longer needed.
struct shard_cancel {
  instance_identity origin;
  std::vector<std::uint64_t> attempt_ids;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_STATE_SHARD_MESSAGES_H_
