#include "coordination/capacity_share.h"

#include <algorithm>

namespace papayaglade {

namespace {

// The rest is for instances that have to send to another data centre
// themselves.
constexpr double kNearShare = 0.7;

}  // namespace

double CapacityShare(double total, const std::string& data_centre,
                     const std::string& own_data_centre,
                     const fleet_position& fleet) {
  const std::size_t instances = std::max<std::size_t>(1, fleet.instances);
  const auto found = fleet.by_data_centre.find(data_centre);
  const std::size_t near =
      found == fleet.by_data_centre.end() ? 0 : found->second;
  if (near == 0 || near >= instances)
    return total / static_cast<double>(instances);
  if (data_centre == own_data_centre)
    return kNearShare * total / static_cast<double>(near);
  return (1 - kNearShare) * total / static_cast<double>(instances - near);
}

}  // namespace papayaglade
