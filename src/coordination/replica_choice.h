#ifndef PAPAYAGLADE_COORDINATION_REPLICA_CHOICE_H_
#define PAPAYAGLADE_COORDINATION_REPLICA_CHOICE_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "coordination/query_context.h"
#include "state/shard_messages.h"

namespace papayaglade {

/// The replica to ask, or the reason why none can be asked.
struct replica_pick {
  std::optional<std::uint32_t> upstream;
  shard_reason reason = shard_reason::kNone;
};

/// Chooses one of the `replicas` that are not in `tried`. Replicas in the own
/// data centre come first; of two picked at random, the less loaded one is
/// chosen.
replica_pick ChooseReplica(const std::vector<std::uint32_t>& replicas,
                           const std::vector<std::uint32_t>& tried,
                           std::uint64_t snapshot, query_context& context,
                           monotonic_time now);

}  // namespace papayaglade

#endif  // PAPAYAGLADE_COORDINATION_REPLICA_CHOICE_H_
