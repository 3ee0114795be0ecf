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
  kWaiting,  ///< For the roster that names a new steward.
  kAnswered,
  kFailed,
};

/// How far one shard of a running query has come.
struct shard_progress {
  shard_phase phase = shard_phase::kOpen;
  shard_outcome outcome = shard_outcome::kNotAsked;
  shard_reason reason = shard_reason::kNone;
  std::vector<std::uint32_t> tried;  ///< Upstreams, the last asked last.
  int attempts = 0;
  int outstanding = 0;
  int hedges = 0;
  bool may_have_run = false;
  std::uint32_t answered_by = 0;
  std::size_t last_attempt = 0;
  monotonic_time first_sent_at;
  monotonic_time ended;
};

/// The shard's line of the account; `upstream` is the one that answered, else
/// the last one asked.
shard_account MakeShardAccount(const std::string& shard,
                               const shard_progress& progress,
                               const std::string& upstream);

}  // namespace papayaglade

#endif  // PAPAYAGLADE_COORDINATION_SHARD_PROGRESS_H_
