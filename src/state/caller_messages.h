#ifndef PAPAYAGLADE_STATE_CALLER_MESSAGES_H_
#define PAPAYAGLADE_STATE_CALLER_MESSAGES_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "state/error.h"
#include "state/shard_messages.h"

namespace papayaglade {

/// A caller's request after syntax validation. Whether the names in it exist
/// is checked later.
struct caller_request {
  /// Id of the request; generated if the caller sends none.
  std::string request_id;
  /// Caller name for metrics; "anonymous" if not given.
  std::string caller;
  std::string workload;
  std::string query;
  std::optional<std::chrono::milliseconds> deadline;
  std::optional<double> minimum_coverage;
  /// Idempotency key: makes a non-repeatable request idempotent. Empty if the
  /// caller sends none.
  std::string request_key;
};

/// The outcome of one request on one shard.
enum class shard_outcome { kAnswered, kNotAsked, kLate, kRefused, kLost };

/// Returns the wire name of `outcome`, such as "answered".
const char* ShardOutcomeName(shard_outcome outcome);

/// The part of an account that describes one shard.
struct shard_account {
  std::string shard;
  shard_outcome outcome = shard_outcome::kNotAsked;
  shard_reason reason = shard_reason::kNone;
  std::string upstream;  ///< The last upstream that was asked.
  int attempts = 0;
  std::chrono::microseconds time{0};
};

/// Reports which shards answered a request, which did not, and why.
struct account {
  std::string request_id;
  std::string workload;
  std::uint64_t snapshot = 0;
  double coverage = 0;  ///< Share of the pinned map's shards that answered.
  int retries = 0;
  int hedges = 0;
  int restarts = 0;  ///< Times the query restarted on another snapshot.
  std::vector<shard_account> shards;
};

/// The caller gets the merged hits of one snapshot.
struct answered {
  std::vector<hit> hits;
  account details;
};

/// It is proven that no upstream ran the request.
struct not_run {
  error cause;
  account details;
};

/// The request may have run, or it ran with too little coverage to answer.
struct outcome_unknown {
  error cause;
  account details;
};

/// The search ran, but its coverage is below the minimum.
struct below_coverage {
  error cause;
  account details;
};

using caller_outcome =
    std::variant<answered, not_run, outcome_unknown, below_coverage>;

/// Returns the wire name of the outcome, such as "below_coverage".
const char* CallerOutcomeName(const caller_outcome& outcome);

}  // namespace papayaglade

#endif  // PAPAYAGLADE_STATE_CALLER_MESSAGES_H_
