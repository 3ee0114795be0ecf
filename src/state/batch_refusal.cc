#include "state/batch_refusal.h"

#include <utility>

namespace papayaglade {

std::vector<std::uint64_t> AttemptIds(const shard_batch& batch) {
  std::vector<std::uint64_t> ids;
  ids.reserve(batch.attempts.size());
  for (const shard_attempt& each : batch.attempts) {
    ids.push_back(each.attempt_id);
  }
  return ids;
}

shard_results RefuseAttempts(const std::vector<std::uint64_t>& attempt_ids,
                             shard_reason reason) {
  shard_results refused;
  for (const std::uint64_t id : attempt_ids) {
    shard_result result;
    result.attempt_id = id;
    result.status = shard_status::kNotRun;
    result.reason = reason;
    refused.results.push_back(std::move(result));
  }
  return refused;
}

}  // namespace papayaglade
