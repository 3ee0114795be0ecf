#ifndef PAPAYAGLADE_APP_FLEET_VERSION_POLLER_H_
#define PAPAYAGLADE_APP_FLEET_VERSION_POLLER_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "coordination/blocking_platform.h"
#include "state/identity.h"

namespace papayaglade {

/// The configuration version that an instance reported last.
struct instance_version {
  std::string name;
  std::string data_centre;
  endpoint operators;
  /// True if the instance answered the last poll.
  bool answered = false;
  std::uint64_t version = 0;
};

/// Polls the configuration versions of the instances in the rosters.
class fleet_version_poller {
 public:
  explicit fleet_version_poller(blocking_platform& platform);

  /// Adds the members of all rosters that the platform stores. Returns false if
  /// the platform does not answer.
  bool ReadRosters();
  /// Adds an instance of which only the operators' address is known.
  void AddInstance(const endpoint& operators);

  /// Polls until all instances have reported `version` or a later one, or until
  /// `timeout` has passed. Returns whether all have.
  bool WaitForVersion(std::uint64_t version, std::chrono::milliseconds timeout);

  /// Polls every instance once and returns the highest version reported.
  std::uint64_t HighestVersion();

  const std::vector<instance_version>& Instances() const { return instances_; }

 private:
  void Poll(instance_version& instance) const;

  blocking_platform& platform_;
  std::vector<instance_version> instances_;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_APP_FLEET_VERSION_POLLER_H_
