#ifndef PAPAYAGLADE_COORDINATION_ASSIGNMENT_H_
#define PAPAYAGLADE_COORDINATION_ASSIGNMENT_H_

#include <string>
#include <vector>

#include "state/cluster_view.h"

namespace papayaglade {

/// An upstream as the assignment sees it.
struct assignable_upstream {
  std::string service;
  std::string name;
};

/// Assigns every upstream to one of `members` by rendezvous hashing, evenly to
/// within one upstream. What `previous` says is kept where balance allows; its
/// `since_epoch` is kept with it, and is `epoch` for each change.
std::vector<steward_assignment> AssignStewards(
    const std::vector<assignable_upstream>& upstreams,
    const std::vector<std::string>& members,
    const std::vector<steward_assignment>& previous, std::uint64_t epoch);

}  // namespace papayaglade

#endif  // PAPAYAGLADE_COORDINATION_ASSIGNMENT_H_
