#include "coordination/shard_progress.h"

#include <chrono>

namespace papayaglade {

shard_account MakeShardAccount(const std::string& shard,
                               const shard_progress& progress,
                               const std::string& upstream) {
  shard_account line;
  line.shard = shard;
  line.upstream = upstream;
  line.attempts = progress.attempts;
  line.reason = progress.reason;
  line.outcome = progress.phase == shard_phase::kAnswered
                     ? shard_outcome::kAnswered
                     : progress.outcome;
  if (progress.attempts > 0) {
    line.time = std::chrono::duration_cast<std::chrono::microseconds>(
        progress.ended_at - progress.first_sent_at);
  }
  return line;
}

}  // namespace papayaglade
