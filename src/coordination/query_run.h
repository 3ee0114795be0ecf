#ifndef PAPAYAGLADE_COORDINATION_QUERY_RUN_H_
#define PAPAYAGLADE_COORDINATION_QUERY_RUN_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "coordination/outbox.h"
#include "coordination/query_account.h"
#include "coordination/query_action.h"
#include "coordination/query_context.h"
#include "coordination/query_spec.h"
#include "coordination/replica_choice.h"
#include "coordination/settle_rule.h"
#include "coordination/shard_progress.h"

namespace papayaglade {

/// Runs one repeatable query at its entry instance. This is a state machine
/// without I/O: events go in by the methods below. After each event, Flush
/// returns the actions to carry out.
class query_run {
 public:
  query_run(query_spec spec, query_context& context, workload_state& shared);

  void Start(monotonic_time now);
  void OnResult(shard_result& result, monotonic_time now);
  /// Handles the loss of the link to a steward: its attempts will not be
  /// answered.
  void OnStewardDown(std::uint32_t steward, monotonic_time now);
  /// Handles a change of the routes: sends the attempts that waited for it.
  void OnRoutes(monotonic_time now);
  void OnTimer(monotonic_time now);
  /// Lets the query be answered by `time`, because the instance stops then.
  void FinishBy(monotonic_time time) { rule_.FinishBy(time); }
  /// Appends the requested actions to `out`.
  void Flush(monotonic_time now, query_actions& out);

  /// Returns when OnTimer is due next.
  monotonic_time NextTimer() const;
  bool IsOver() const { return is_settled_; }
  const attempt_counts& Counts() const { return counts_; }

 private:
  struct attempt {
    std::uint32_t shard = 0;
    std::uint32_t upstream = 0;
    std::uint32_t steward = 0;
    monotonic_time sent_at;
    bool is_open = true;
  };

  /// Asks every shard of the pinned snapshot; returns how many were asked.
  std::size_t AskAllShards(monotonic_time now);
  /// Picks a replica of the shard that was not tried yet.
  replica_pick PickReplica(std::size_t shard, monotonic_time now);
  replica_pick PickHedgeReplica(std::size_t shard, monotonic_time now);
  void AskUpstream(std::size_t shard, std::uint32_t upstream,
                   monotonic_time now);
  /// Asks another replica if there is one and `budget` allows it; returns
  /// whether it did.
  bool TryRetry(std::size_t shard, retry_budget& budget, monotonic_time now);
  void CancelAttempt(std::size_t ordinal, monotonic_time now);
  void CancelAllAttempts(monotonic_time now);
  void CancelShardAttempts(std::size_t shard, monotonic_time now);

  void OnAnswer(const attempt& ended, shard_result& result, monotonic_time now);
  void OnRefusal(const attempt& ended, shard_reason reason, monotonic_time now);
  void OnLoss(const attempt& ended, shard_reason reason, monotonic_time now);
  void OnMissingSnapshot(const attempt& ended, const shard_result& result,
                         monotonic_time now);
  /// Returns whether the upstream asked last has a new steward.
  bool LastStewardChanged(const shard_progress& shard) const;
  /// Marks the shard as failed.
  void CloseShard(std::size_t shard, shard_outcome outcome, shard_reason reason,
                  monotonic_time now);

  void SendHedges(monotonic_time now);
  /// Restarts the query with a snapshot that more shards serve, if there is one
  /// and time is left; returns whether it did.
  bool TryRestart(monotonic_time now);
  void SettleIfDone(monotonic_time now);
  void Settle(monotonic_time now);
  account MakeAccount() const;

  query_spec spec_;
  query_context& context_;
  workload_state& workload_state_;
  settle_rule rule_;
  std::shared_ptr<const snapshot_plan> pinned_plan_;
  std::vector<attempt> attempts_;
  /// Index of the first attempt for the pinned snapshot; earlier attempts
  /// belong to snapshots pinned before.
  std::size_t first_pinned_attempt_ = 0;
  std::vector<shard_progress> shards_;
  std::vector<hit> hits_;
  outbox outbox_;
  std::size_t answered_shards_ = 0;
  std::size_t unfinished_shards_ = 0;
  /// Shards without a replica that holds the snapshot.
  std::size_t shards_without_snapshot_ = 0;
  attempt_counts counts_;
  monotonic_time began_at_;
  monotonic_time last_timer_at_;
  std::optional<std::chrono::microseconds> hedge_delay_;
  std::optional<monotonic_time> next_hedge_at_;
  std::optional<caller_outcome> outcome_;
  bool is_settled_ = false;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_COORDINATION_QUERY_RUN_H_
