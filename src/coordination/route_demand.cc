#include "coordination/route_demand.h"

#include <algorithm>
#include <chrono>
#include <variant>

#include "state/overloaded.h"

namespace papayaglade {

namespace {

// Interval at which the counts of recent requests are halved.
constexpr std::chrono::seconds kHalfLife{2};

// Returns whether enough upstreams of `route` are reachable.
bool CanServe(const route& route, const upstream_directory& upstreams,
              monotonic_time now) {
  const auto reachable = [&](const std::string& service) {
    return upstreams.HasReachable(service, now);
  };
  return std::visit(
      overloaded{
          [&](const single_target& target) {
            return reachable(target.service);
          },
          [&](const weighted_target& target) {
            return std::any_of(
                target.services.begin(), target.services.end(),
                [&](const auto& each) { return reachable(each.service); });
          },
          [&](const fanout_target& target) {
            const auto reached = std::count_if(target.shards.begin(),
                                               target.shards.end(), reachable);
            return static_cast<double>(reached) >=
                   target.minimum_coverage *
                       static_cast<double>(target.shards.size());
          },
      },
      route.target);
}

}  // namespace

void route_demand::Count(const std::string& route, monotonic_time now) {
  if (now - last_halving_ > kHalfLife) {
    last_halving_ = now;
    for (auto& each : requests_) each.second /= 2;
  }
  requests_[route] += 1;
}

bool route_demand::IsMostlyUnservable(const tier_configuration& configuration,
                                      const upstream_directory& upstreams,
                                      monotonic_time now) const {
  double all = 0;
  double lost = 0;
  for (const route& each : configuration.routes) {
    const auto found = requests_.find(each.name);
    if (found == requests_.end()) continue;
    all += found->second;
    if (!CanServe(each, upstreams, now)) lost += found->second;
  }
  return all > 0 && lost > all / 2;
}

}  // namespace papayaglade
