#ifndef PAPAYAGLADE_COORDINATION_ROSTER_LOOKUP_H_
#define PAPAYAGLADE_COORDINATION_ROSTER_LOOKUP_H_

#include <cstdint>
#include <string>

#include "state/cluster_view.h"

namespace papayaglade {

/// Returns the name of the steward of `upstream`; empty if it has none.
std::string StewardOf(const roster& from, const std::string& upstream);

/// Returns the epoch since which `upstream` has its steward; 0 if it has none.
std::uint64_t SinceEpoch(const roster& from, const std::string& upstream);

bool HasMember(const roster& from, const instance_identity& identity);

}  // namespace papayaglade

#endif  // PAPAYAGLADE_COORDINATION_ROSTER_LOOKUP_H_
