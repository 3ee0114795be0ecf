#ifndef PAPAYAGLADE_APP_FLEET_WATCH_H_
#define PAPAYAGLADE_APP_FLEET_WATCH_H_

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
class fleet_watch {
 public:
  explicit fleet_watch(blocking_platform& platform);

  /// Adds the members of all rosters in the platform; false when it does not
  /// answer.
  bool ReadRosters();
  /// Adds an instance known by its operators' address alone.
  void AddInstance(const endpoint& operators);

  /// Asks again until all are on `version` or later, or `patience` has
  /// passed; returns true when all are.
  bool Await(std::uint64_t version, std::chrono::milliseconds patience);

  /// Asks every instance once; returns the highest version named.
  std::uint64_t HighestVersion();

  const std::vector<instance_version>& Instances() const { return instances_; }

 private:
  void Ask(instance_version& instance) const;

  blocking_platform& platform_;
  std::vector<instance_version> instances_;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_APP_FLEET_WATCH_H_
