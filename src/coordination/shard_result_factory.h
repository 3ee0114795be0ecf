#ifndef PAPAYAGLADE_COORDINATION_SHARD_RESULT_FACTORY_H_
#define PAPAYAGLADE_COORDINATION_SHARD_RESULT_FACTORY_H_

#include "coordination/exchange_table.h"
#include "state/shard_messages.h"
#include "state/upstream_messages.h"

namespace papayaglade {

/// Returns the result of work that never ran.
shard_result MakeNotRunResult(shard_reason reason);

/// Returns the result of work that may have run.
shard_result MakeLostResult(shard_reason reason, monotonic_time sent,
                            monotonic_time now);

/// Returns the result of work that the upstream replied to.
shard_result MakeReplyResult(const upstream_exchange& done,
                             upstream_reply reply, monotonic_time now);

}  // namespace papayaglade

#endif  // PAPAYAGLADE_COORDINATION_SHARD_RESULT_FACTORY_H_
