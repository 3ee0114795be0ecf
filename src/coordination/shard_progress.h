#ifndef PAPAYAGLADE_COORDINATION_SHARD_PROGRESS_H_
#define PAPAYAGLADE_COORDINATION_SHARD_PROGRESS_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "state/caller_messages.h"
#include "state/time.h"

namespace papayaglade {

enum class shard_phase {
  kOpen,
  kWaiting,  ///< Waiting for the roster that names a new steward.
  kAnswered,
  kFailed,
};

/// State of one shard of a running query.
struct shard_progress {
  shard_phase phase = shard_phase::kOpen;
  shard_outcome outcome = shard_outcome::kNotAsked;
  shard_reason reason = shard_reason::kNone;
  /// Upstreams asked so far, in order.
  std::vector<std::uint32_t> tried;
  int attempts = 0;
  /// Attempts that await a result.
  int outstanding = 0;
  int hedges = 0;
  bool may_have_run = false;
  std::uint32_t answered_by = 0;
  /// Index of the latest attempt.
  std::size_t last_attempt = 0;
  monotonic_time first_sent_at;
  monotonic_time ended_at;
};

/// Returns the line of the account for the shard. `upstream` is the upstream
/// that answered, else the last one asked.
shard_account MakeShardAccount(const std::string& shard,
                               const shard_progress& progress,
                               const std::string& upstream);

}  // namespace papayaglade

#endif  // PAPAYAGLADE_COORDINATION_SHARD_PROGRESS_H_
