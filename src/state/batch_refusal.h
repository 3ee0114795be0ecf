#ifndef PAPAYAGLADE_STATE_BATCH_REFUSAL_H_
#define PAPAYAGLADE_STATE_BATCH_REFUSAL_H_

#include <cstdint>
#include <vector>

#include "state/shard_messages.h"

namespace papayaglade {

/// Returns the ids of the attempts in `batch`. Collect them before the batch is
/// moved if its attempts may have to be refused later.
std::vector<std::uint64_t> AttemptIds(const shard_batch& batch);

/// Returns a result for each attempt: status kNotRun, with `reason`.
shard_results RefuseAttempts(const std::vector<std::uint64_t>& attempt_ids,
                             shard_reason reason);

}  // namespace papayaglade

#endif  // PAPAYAGLADE_STATE_BATCH_REFUSAL_H_
