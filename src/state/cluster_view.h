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

/// One instance of the query tier as listed in its data centre's roster.
struct roster_member {
  instance_identity identity;
  endpoint peers;      ///< Address on which it accepts peer links.
  endpoint operators;  ///< Address of its operator port.
  /// Roster epoch since which the instance has been a member continuously.
  std::uint64_t joined_epoch = 0;
};

/// Assigns one upstream to the instance that is its steward.
struct steward_assignment {
  std::string upstream;
  std::string steward;  ///< Name of a member of the roster.
  /// Epoch since which the same process has been the steward.
  std::uint64_t since_epoch = 0;
};

/// The members and steward assignments of one data centre. Instances agree on
/// it through the platform.
struct roster {
  std::string data_centre;
  std::uint64_t epoch = 0;
  std::vector<roster_member> members;
  std::vector<steward_assignment> assignments;
  /// Former members whose process is not proven to have ended.
  std::vector<roster_member> retired{};
  /// Identifies the process that wrote this roster and which of its writes it
  /// was.
  std::string writer{};
  /// Version of the configuration that the assigned upstreams are taken from.
  std::uint64_t configuration_version = 0;
};

/// An operator's order to take a data centre out of service or back in. The
/// order with the highest generation applies.
struct data_centre_order {
  std::string data_centre;
  std::uint64_t generation = 0;
  bool out = false;
};

/// The agreed state that routing and stewardship use. Immutable once built.
struct cluster_view {
  std::shared_ptr<const configuration> config;
  std::vector<service_snapshots> snapshots;
  std::vector<roster> rosters;
  std::vector<data_centre_order> orders;
  /// False while the instance has no configuration, is leaving, or its data
  /// centre is ordered out.
  bool ready = false;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_STATE_CLUSTER_VIEW_H_
