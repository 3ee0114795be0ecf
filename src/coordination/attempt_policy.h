#ifndef PAPAYAGLADE_COORDINATION_ATTEMPT_POLICY_H_
#define PAPAYAGLADE_COORDINATION_ATTEMPT_POLICY_H_

#include <chrono>
#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "coordination/latency_quantile.h"
#include "coordination/repeat_budget.h"
#include "state/entry_settings.h"
#include "state/fleet_position.h"
#include "state/route.h"
#include "state/time.h"

namespace papayaglade {

/// What this instance has learnt of routes and services, and what repeats it
/// may still send to them.
class attempt_policy {
 public:
  explicit attempt_policy(const repeat_limits& limits);

  void SetLimits(const repeat_limits& limits) { limits_ = limits; }
  void SetInstances(std::size_t instances) { instances_ = instances; }

  void CountRequest(const std::string& service, monotonic_time now);
  bool TryRepeat(const std::string& service, monotonic_time now);

  /// Whether repeats to the service are far from their bound.
  bool HasAmpleRepeats(const std::string& service, monotonic_time now);

  /// An upstream answered an attempt for `route`.
  void RecordLatency(const route& route, std::chrono::microseconds latency);
  /// What half of the attempts take.
  std::chrono::microseconds MedianLatency(const route& route);
  /// After which a second upstream is asked.
  std::chrono::microseconds HedgeDelay(const route& route);
  /// The same when repeats are scarce: as late as a second answer still comes
  /// in time.
  static std::chrono::microseconds MaxHedgeDelay(const route& route);

  /// The service for the next request of a weighted route: each gets its
  /// share in any run of requests.
  const std::string& NextService(const route& route,
                                 const weighted_target& target);

 private:
  struct route_latencies {
    latency_quantile median;
    latency_quantile hedge_threshold;
  };
  struct service_credit {
    std::string service;
    double credit = 0;
  };

  route_latencies& LatenciesOf(const route& route);

  repeat_limits limits_;
  std::size_t instances_ = fleet_position::kAssumedInstances;
  std::map<std::string, repeat_budget> budgets_;
  std::map<std::string, route_latencies> latencies_;
  std::map<std::string, std::vector<service_credit>> credits_;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_COORDINATION_ATTEMPT_POLICY_H_
