#ifndef PAPAYAGLADE_COORDINATION_UPSTREAM_SUBSET_H_
#define PAPAYAGLADE_COORDINATION_UPSTREAM_SUBSET_H_

#include <string>
#include <vector>

#include "coordination/known_upstream.h"
#include "state/fleet_position.h"
#include "state/route.h"

namespace papayaglade {

/// Marks the upstreams of a service to which the instance at `position` in
/// `data_centre` keeps connections. If they accept fewer connections than there
/// are instances, each instance keeps to a subset, so that the load spreads
/// evenly. `limits` is null if they are unknown: then all are marked.
std::vector<bool> SelectSubset(const std::vector<upstream_pointer>& upstreams,
                               const service_limits* limits,
                               const std::string& data_centre,
                               const fleet_position& position);

}  // namespace papayaglade

#endif  // PAPAYAGLADE_COORDINATION_UPSTREAM_SUBSET_H_
