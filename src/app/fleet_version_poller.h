#ifndef PAPAYAGLADE_APP_FLEET_VERSION_POLLER_H_
#define PAPAYAGLADE_APP_FLEET_VERSION_POLLER_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "coordination/blocking_platform.h"
#include "state/identity.h"

namespace papayaglade {

/// What one instance said about the configuration it goes by.
struct instance_version {
  std::string name;
  std::string data_centre;
  endpoint operators;
  bool answered = false;
  std::uint64_t version = 0;
};

/// Waits until the instances that the rosters name go by a version.
class fleet_version_poller {
 public:
  explicit fleet_version_poller(blocking_platform& platform);

  /// Adds the members of all rosters in the platform; false when it does not
  /// answer.
  bool ReadRosters();
  /// Adds an instance known by its operators' address alone.
  void AddInstance(const endpoint& operators);

  /// Asks again until all are on `version` or later, or `timeout` has
  /// passed; returns true when all are.
  bool WaitForVersion(std::uint64_t version, std::chrono::milliseconds timeout);

  /// Asks every instance once; returns the highest version named.
  std::uint64_t HighestVersion();

  const std::vector<instance_version>& Instances() const { return instances_; }

 private:
  void Poll(instance_version& instance) const;

  blocking_platform& platform_;
  std::vector<instance_version> instances_;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_APP_FLEET_VERSION_POLLER_H_
