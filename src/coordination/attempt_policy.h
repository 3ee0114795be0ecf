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

/// Holds the observed latencies of routes and the repeat budgets of services,
/// and derives hedge delays from them.
class attempt_policy {
 public:
  explicit attempt_policy(const repeat_limits& limits);

  void SetLimits(const repeat_limits& limits) { limits_ = limits; }
  void SetInstances(std::size_t instances) { instances_ = instances; }

  /// Counts a first attempt, which earns budget for repeats.
  void CountRequest(const std::string& service, monotonic_time now);
  /// Spends budget for one repeat; returns false if there is none.
  bool TryRepeat(const std::string& service, monotonic_time now);

  /// Returns whether repeats to the service are well below their limit.
  bool HasAmpleRepeats(const std::string& service, monotonic_time now);

  /// Records the latency of an answered attempt for `route`.
  void RecordLatency(const route& route, std::chrono::microseconds latency);
  /// Returns the median latency of the route's attempts.
  std::chrono::microseconds MedianLatency(const route& route);
  /// Returns the delay after which a second upstream is asked.
  std::chrono::microseconds HedgeDelay(const route& route);
  /// Returns the hedge delay for a low repeat budget: the longest after which
  /// the second answer still meets the latency target.
  static std::chrono::microseconds MaxHedgeDelay(const route& route);

  /// Returns the service for the next request of a weighted route. In any
  /// sequence of requests, each service gets its share.
  const std::string& NextService(const route& route,
                                 const weighted_target& target);

 private:
  struct route_latencies {
    latency_quantile median;
    latency_quantile hedge_threshold;
  };
  /// Credit of a service in smooth weighted round-robin.
  struct service_credit {
    std::string service;
    double credit = 0;
  };

  /// Returns the latencies of the route, with initial estimates if it is new.
  route_latencies& LatenciesOf(const route& route);

  repeat_limits limits_;
  std::size_t instances_ = fleet_position::kAssumedInstances;
  std::map<std::string, repeat_budget> budgets_;
  std::map<std::string, route_latencies> latencies_;
  std::map<std::string, std::vector<service_credit>> credits_;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_COORDINATION_ATTEMPT_POLICY_H_
