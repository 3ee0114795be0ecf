#ifndef PAPAYAGLADE_COORDINATION_ROUTE_DEMAND_H_
#define PAPAYAGLADE_COORDINATION_ROUTE_DEMAND_H_

#include <map>
#include <string>

#include "coordination/upstream_directory.h"
#include "state/route.h"
#include "state/time.h"

namespace papayaglade {

/// Counts the recent requests of each route.
class route_demand {
 public:
  /// Adds one to the recent requests of `route`.
  void Count(const std::string& route, monotonic_time now);

  /// Returns whether the routes of more than half of the recent requests cannot
  /// be served because their upstreams are unreachable.
  bool IsMostlyUnservable(const tier_configuration& configuration,
                          const upstream_directory& upstreams,
                          monotonic_time now) const;

 private:
  /// Recent requests by route name; all counts are halved periodically.
  std::map<std::string, double> requests_;
  monotonic_time last_halving_;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_COORDINATION_ROUTE_DEMAND_H_
