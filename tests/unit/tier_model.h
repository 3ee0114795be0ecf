#ifndef PAPAYAGLADE_TESTS_UNIT_TIER_MODEL_H_
#define PAPAYAGLADE_TESTS_UNIT_TIER_MODEL_H_

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "coordination/query_engine.h"

namespace papayaglade {

/// An attempt as its steward receives it.
struct sent_attempt {
  std::string steward;
  std::uint64_t snapshot = 0;
  shard_attempt attempt;
  monotonic_time sent;
};

/// The result that the model returns for an attempt after `delay`.
struct planned_result {
  std::chrono::microseconds delay{1000};
  shard_result result;
};

/// Simulates the stewards and upstreams of one query engine in virtual time.
/// Shard N has the replicas uN-a (data centre "a", steward sa) and uN-b.
class tier_model {
 public:
  explicit tier_model(int shards, std::uint64_t seed = 1);

  workload& Workload() { return config_->services[0].workloads[0]; }
  cluster_view& View() { return *view_; }
  void AddSnapshot(std::uint64_t snapshot, int shards);
  void PushView() {
    engine.SetView(std::make_shared<cluster_view>(*view_), now);
  }

  std::uint64_t Ask(caller_request request = Request());
  static caller_request Request();
  void DeliverResult(std::uint64_t attempt_id, shard_status status,
                     shard_reason reason = shard_reason::kNone,
                     std::uint64_t snapshot = 1);
  /// Advances the time and delivers planned results and due timers in order.
  void Advance(std::chrono::microseconds by);
  const caller_outcome& OutcomeOf(std::uint64_t query) const;

  monotonic_time now{std::chrono::hours(1)};
  query_engine engine;
  /// Called for each attempt sent. If it returns nothing, the attempt is never
  /// answered.
  std::function<std::optional<planned_result>(const sent_attempt&)> upstreams;
  std::vector<sent_attempt> sent;
  int batches = 0;
  std::vector<std::uint64_t> cancelled;
  std::map<std::uint64_t, caller_outcome> outcomes;
  std::map<std::uint64_t, monotonic_time> settled_at;
  attempt_counts totals;

 private:
  void CollectActions();

  std::shared_ptr<configuration> config_;
  std::shared_ptr<cluster_view> view_;
  std::multimap<monotonic_time, shard_result> planned_;
};

planned_result Answer(const sent_attempt& seen,
                      std::chrono::microseconds delay);
planned_result End(shard_status status, shard_reason reason);

}  // namespace papayaglade

#endif  // PAPAYAGLADE_TESTS_UNIT_TIER_MODEL_H_
