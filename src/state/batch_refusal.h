#ifndef PAPAYAGLADE_STATE_BATCH_REFUSAL_H_
#define PAPAYAGLADE_STATE_BATCH_REFUSAL_H_

#include <cstdint>
#include <vector>

#include "state/shard_messages.h"

namespace papayaglade {

/// The attempts of `batch`, for refusing them once the batch is moved away.
std::vector<std::uint64_t> AttemptIds(const shard_batch& batch);

/// Says of each attempt that it was not run, and why.
shard_results RefuseAttempts(const std::vector<std::uint64_t>& attempt_ids,
                             shard_reason reason);

}  // namespace papayaglade

#endif  // PAPAYAGLADE_STATE_BATCH_REFUSAL_H_
