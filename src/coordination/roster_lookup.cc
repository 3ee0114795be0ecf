#include "coordination/roster_lookup.h"

#include <algorithm>

namespace papayaglade {

std::string StewardOf(const roster& from, const std::string& upstream) {
  for (const steward_assignment& each : from.assignments) {
    if (each.upstream == upstream) return each.steward;
  }
  return "";
}

std::uint64_t SinceEpoch(const roster& from, const std::string& upstream) {
  for (const steward_assignment& each : from.assignments) {
    if (each.upstream == upstream) return each.since_epoch;
  }
  return 0;
}

bool HasMember(const roster& from, const instance_identity& identity) {
  return std::any_of(from.members.begin(), from.members.end(),
                     [&identity](const roster_member& each) {
                       return each.identity == identity;
                     });
}

}  // namespace papayaglade
