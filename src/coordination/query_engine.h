#ifndef PAPAYAGLADE_COORDINATION_QUERY_ENGINE_H_
#define PAPAYAGLADE_COORDINATION_QUERY_ENGINE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "coordination/query_action.h"
#include "coordination/query_context.h"
#include "coordination/query_run.h"
#include "coordination/route_durations.h"
#include "coordination/shutdown_plan.h"
#include "coordination/single_run.h"

namespace papayaglade {

/// An action of one open request.
struct engine_action {
  std::uint64_t query = 0;
  query_action action;
};

/// Status of one workload, for operators.
struct workload_status {
  std::string workload;
  /// The hedge delay; empty as long as there are too few samples.
  std::optional<std::chrono::microseconds> hedge_delay;
};

/// Runs all open requests of one entry instance without I/O: events go in by
/// the methods below, and TakeActions returns the actions to carry out.
class query_engine {
 public:
  query_engine(const instance_identity& self, std::string data_centre,
               std::size_t max_open, std::uint64_t seed);

  /// Sets the newest cluster view and informs all open requests.
  void SetView(const std::shared_ptr<const cluster_view>& view,
               monotonic_time now);

  /// Accepts a request and returns the number that tags its actions, or returns
  /// why it was refused; nothing ran in that case.
  std::variant<std::uint64_t, error> Open(caller_request request,
                                          monotonic_time arrival,
                                          monotonic_time now);

  void OnResults(shard_results& message, monotonic_time now);
  void OnStewardLink(const std::string& steward, bool up, monotonic_time now);
  void OnClaim(std::uint64_t query, const claim_reply& reply,
               monotonic_time now);
  void OnTimer(monotonic_time now);
  /// Answers all open requests by the time that `plan` sets. From now on, Open
  /// refuses the requests that cannot be answered by then.
  void BeginStop(const shutdown_plan& plan, monotonic_time now);

  /// Returns when OnTimer is due next; nothing if no request is open.
  std::optional<monotonic_time> NextTimer() const;
  std::size_t OpenCount() const { return open_requests_.size(); }
  /// Returns whether `query` is open and may have been sent to an upstream.
  bool MayHaveRun(std::uint64_t query) const;
  std::vector<workload_status> Workloads() const;

  /// Returns the actions requested since the last call.
  std::vector<engine_action> TakeActions();

 private:
  using run = std::variant<query_run, single_run>;
  struct open_request {
    run state;
    std::string workload;
    monotonic_time start;
    monotonic_time next_timer;
    bool is_answered = false;
  };

  template <typename Event>
  void Apply(std::uint64_t query, monotonic_time now, const Event& event);
  template <typename Event>
  void ApplyToAll(monotonic_time now, const Event& event);
  void CollectActions(std::uint64_t query, open_request& request,
                      monotonic_time now);
  /// Records how long an answered request took.
  void OnAnswered(open_request& request, const attempt_counts& counts,
                  monotonic_time now);
  bool MayTakeWhileStopping(const query_spec& spec, monotonic_time now) const;
  workload_state& StateOf(const workload& work);

  query_context context_;
  std::string data_centre_;
  std::size_t max_open_;
  std::uint64_t last_query_ = 0;
  std::unordered_map<std::uint64_t, open_request> open_requests_;
  std::set<std::pair<monotonic_time, std::uint64_t>> timers_;
  std::map<std::string, std::unique_ptr<workload_state>> workloads_;
  std::map<std::string, double> hedge_percentiles_;
  route_durations durations_;          ///< By workload.
  std::optional<shutdown_plan> stop_;  ///< Empty until the stop begins.
  std::vector<engine_action> actions_;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_COORDINATION_QUERY_ENGINE_H_
