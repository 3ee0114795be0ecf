#ifndef PAPAYAGLADE_COORDINATION_CAPACITY_SHARE_H_
#define PAPAYAGLADE_COORDINATION_CAPACITY_SHARE_H_

#include <string>

#include "state/fleet_position.h"

namespace papayaglade {

/// Returns the share that an instance in `own_data_centre` has of the `total`
/// that an upstream in `data_centre` bears. The shares of all instances of the
/// fleet add up to `total`. Instances near the upstream get most of it, because
/// they also send for those elsewhere.
double CapacityShare(double total, const std::string& data_centre,
                     const std::string& own_data_centre,
                     const fleet_position& fleet);

}  // namespace papayaglade

#endif  // PAPAYAGLADE_COORDINATION_CAPACITY_SHARE_H_
