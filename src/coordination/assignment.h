#ifndef PAPAYAGLADE_COORDINATION_ASSIGNMENT_H_
#define PAPAYAGLADE_COORDINATION_ASSIGNMENT_H_

#include <string>
#include <vector>

#include "state/cluster_view.h"

namespace papayaglade {

/// The properties of an upstream that its assignment depends on.
struct assignable_upstream {
  std::string service;
  std::string name;
};

/// Assigns every upstream to one of `members` by rendezvous hashing. The
/// numbers of upstreams of two members differ by at most one. An assignment in
/// `previous` is kept with its `since_epoch` where the balance allows it; a new
/// assignment gets `epoch`.
std::vector<steward_assignment> AssignStewards(
    const std::vector<assignable_upstream>& upstreams,
    const std::vector<std::string>& members,
    const std::vector<steward_assignment>& previous, std::uint64_t epoch);

}  // namespace papayaglade

#endif  // PAPAYAGLADE_COORDINATION_ASSIGNMENT_H_
