#ifndef PAPAYAGLADE_COORDINATION_OUTBOX_H_
#define PAPAYAGLADE_COORDINATION_OUTBOX_H_

#include <cstdint>
#include <vector>

#include "coordination/query_action.h"
#include "coordination/query_context.h"
#include "coordination/query_spec.h"

namespace papayaglade {

/// Collects the attempts and cancellations of one event, so that each steward
/// gets one message of each kind.
class outbox {
 public:
  void Send(std::uint32_t steward, shard_attempt attempt);
  void Cancel(std::uint32_t steward, std::uint64_t attempt_id);

  /// Converts the collected attempts and cancellations to actions and clears
  /// them. Stewards must have answered by `answer_by`.
  void Flush(const query_spec& spec, std::uint64_t snapshot,
             const query_context& context, monotonic_time answer_by,
             monotonic_time now, query_actions& out);

 private:
  struct steward_batch {
    std::uint32_t steward = 0;
    std::vector<shard_attempt> attempts;
  };
  struct steward_cancel {
    std::uint32_t steward = 0;
    std::vector<std::uint64_t> attempt_ids;
  };

  bool RemoveUnsent(std::uint64_t attempt_id);

  std::vector<steward_batch> batches_;
  std::vector<steward_cancel> cancels_;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_COORDINATION_OUTBOX_H_
