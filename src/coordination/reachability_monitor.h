#ifndef PAPAYAGLADE_COORDINATION_REACHABILITY_MONITOR_H_
#define PAPAYAGLADE_COORDINATION_REACHABILITY_MONITOR_H_

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "state/time.h"

namespace papayaglade {

/// Detects data centres that this instance cannot reach: several upstreams
/// there are overdue or unreachable, and none has answered for a while. One
/// answer or one connection makes the data centre reachable again.
class reachability_monitor {
 public:
  /// State of the upstreams of one data centre at one moment.
  struct sample {
    std::string data_centre;
    std::size_t upstreams = 0;
    /// Upstreams with an overdue attempt.
    std::size_t overdue = 0;
  };

  /// Records that an upstream of the data centre answered or accepted a
  /// connection.
  void OnContact(const std::string& data_centre, monotonic_time now);
  /// Records that a connection to `upstream` failed or that it did not answer.
  void OnFailure(const std::string& data_centre, const std::string& upstream);

  /// Determines the unreachable data centres anew; returns whether the set
  /// changed.
  bool Evaluate(const std::vector<sample>& samples, monotonic_time now);

  const std::set<std::string>& Unreachable() const { return unreachable_; }

 private:
  struct data_centre_state {
    monotonic_time last_contact_at;
    /// Upstreams that failed since the last contact.
    std::set<std::string> failed_upstreams;
  };

  std::map<std::string, data_centre_state> states_;
  std::set<std::string> unreachable_;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_COORDINATION_REACHABILITY_MONITOR_H_
