#ifndef PAPAYAGLADE_COORDINATION_REACHABILITY_MONITOR_H_
#define PAPAYAGLADE_COORDINATION_REACHABILITY_MONITOR_H_

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "state/time.h"

namespace papayaglade {

/// Tells which data centres this instance cannot reach: several upstreams
/// there are overdue or unreachable, and none has answered for a while. One
/// answer, or one connection, restores the data centre.
class reachability_monitor {
 public:
  /// What is known of the upstreams of one data centre at a moment.
  struct sample {
    std::string data_centre;
    std::size_t upstreams = 0;
    std::size_t overdue = 0;  ///< With an attempt that is overdue.
  };

  /// An upstream there answered, or accepted a connection.
  void OnContact(const std::string& data_centre, monotonic_time now);
  /// A connection to `upstream` failed, or it stayed silent.
  void OnFailure(const std::string& data_centre, const std::string& upstream);

  /// Judges all data centres; returns whether the set of cut ones changed.
  bool Evaluate(const std::vector<sample>& samples, monotonic_time now);

  const std::set<std::string>& Unreachable() const { return unreachable_; }

 private:
  struct data_centre_state {
    monotonic_time last_contact_at;
    std::set<std::string>
        failed_upstreams;  ///< Upstreams, since the last contact.
  };

  std::map<std::string, data_centre_state> states_;
  std::set<std::string> unreachable_;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_COORDINATION_REACHABILITY_MONITOR_H_
