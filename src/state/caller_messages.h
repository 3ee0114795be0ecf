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

/// A caller's request after checking its form; names are checked later.
struct caller_request {
  std::string request_id;  ///< Chosen by the instance when the caller has none.
  std::string caller;      ///< Who asks, for metrics; "anonymous" if not given.
  std::string workload;
  std::string query;
  std::optional<std::chrono::milliseconds> deadline;
  std::optional<double> minimum_coverage;
  std::string request_key;  ///< Makes a non-repeatable request idempotent.
};

/// How one shard fared in one request.
enum class shard_outcome { kAnswered, kNotAsked, kLate, kRefused, kLost };

/// Returns the wire name of `outcome`, such as "answered".
const char* ShardOutcomeName(shard_outcome outcome);

/// One line of the account.
struct shard_account {
  std::string shard;
  shard_outcome outcome = shard_outcome::kNotAsked;
  shard_reason reason = shard_reason::kNone;
  std::string upstream;  ///< Last upstream asked.
  int attempts = 0;
  std::chrono::microseconds time{0};
};

/// Which shards answered, which did not, and why.
struct account {
  std::string request_id;
  std::string workload;
  std::uint64_t snapshot = 0;
  double coverage = 0;  ///< Answered shards per shard of the pinned map.
  int retries = 0;
  int hedges = 0;
  int restarts = 0;  ///< Times the query began again on another snapshot.
  std::vector<shard_account> shards;
};

/// A merged answer from one snapshot.
struct answered {
  std::vector<hit> hits;
  account details;
};

/// Proven: no upstream ran the request.
struct not_run {
  error cause;
  account details;
};

/// The request may have run, or ran with too little coverage to answer.
struct outcome_unknown {
  error cause;
  account details;
};

/// A search that ran but covers less than the minimum.
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
