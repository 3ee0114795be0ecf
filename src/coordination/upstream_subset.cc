#include "coordination/upstream_subset.h"

#include <algorithm>
#include <cstddef>
#include <functional>

namespace papayaglade {

namespace {

// Leaves room for the connections of instances that have gone.
constexpr double kConnectionSafetyShare = 0.93;

std::size_t SubsetSize(const service_limits* limits, std::size_t upstreams,
                       std::size_t instances) {
  if (limits == nullptr) return upstreams;
  const double connections = kConnectionSafetyShare *
                             static_cast<double>(limits->connections) *
                             static_cast<double>(upstreams);
  const auto each =
      static_cast<std::size_t>(connections / static_cast<double>(instances));
  return std::clamp<std::size_t>(each, 1, upstreams);
}

}  // namespace

std::vector<bool> SelectSubset(const std::vector<upstream_pointer>& upstreams,
                               const service_limits* limits,
                               const std::string& data_centre,
                               const fleet_position& position) {
  const std::size_t count = upstreams.size();
  std::size_t remaining = SubsetSize(limits, count, position.instances);
  std::vector<bool> in_subset(count, remaining == count);
  if (remaining == count) return in_subset;
  for (std::size_t i = 0; i < count && remaining > 0; ++i) {
    if (upstreams[i]->record.data_centre != data_centre) continue;
    in_subset[i] = true;
    --remaining;
  }
  // Services differ in where they start, so that the load of all spreads.
  const std::size_t start =
      position.index +
      std::hash<std::string>()(upstreams.front()->record.service) % count;
  for (std::size_t i = 0; i < count && remaining > 0; ++i) {
    const std::size_t next = (start + i) % count;
    if (in_subset[next]) continue;
    in_subset[next] = true;
    --remaining;
  }
  return in_subset;
}

}  // namespace papayaglade
