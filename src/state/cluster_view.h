#ifndef PAPAYAGLADE_STATE_CLUSTER_VIEW_H_
#define PAPAYAGLADE_STATE_CLUSTER_VIEW_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "state/configuration.h"
#include "state/identity.h"
#include "state/partition_map.h"

namespace papayaglade {

/// One instance of the query tier as its data centre's roster names it.
struct roster_member {
  instance_identity identity;
  endpoint peers;                  ///< Where the instance accepts peer links.
  endpoint operators;              ///< Where operators reach the instance.
  std::uint64_t joined_epoch = 0;  ///< Member without a break since then.
};

/// Which instance is steward of one upstream.
struct steward_assignment {
  std::string upstream;
  std::string steward;  ///< Instance name; always a member of the roster.
  std::uint64_t since_epoch = 0;  ///< The same process since this epoch.
};

/// Members and assignments of one data centre, agreed through the platform.
struct roster {
  std::string data_centre;
  std::uint64_t epoch = 0;
  std::vector<roster_member> members;
  std::vector<steward_assignment> assignments;
  /// Former members whose process is not proven gone.
  std::vector<roster_member> retired{};
  std::string writer{};  ///< Which process and write of it this is.
  std::uint64_t configuration_version = 0;  ///< That named the upstreams.
};

/// An operator's order about a data centre; the highest generation holds.
struct data_centre_order {
  std::string data_centre;
  std::uint64_t generation = 0;
  bool out = false;
};

/// Everything agreed that routing and stewardship need; immutable once built.
struct cluster_view {
  std::shared_ptr<const configuration> config;
  std::vector<service_snapshots> snapshots;
  std::vector<roster> rosters;
  std::vector<data_centre_order> orders;
  /// False while the instance has no configuration, leaves or is ordered out.
  bool ready = false;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_STATE_CLUSTER_VIEW_H_
