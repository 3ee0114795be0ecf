#ifndef PAPAYAGLADE_STATE_ENTRY_SETTINGS_H_
#define PAPAYAGLADE_STATE_ENTRY_SETTINGS_H_

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

#include "state/change_delays.h"
#include "state/identity.h"

namespace papayaglade {

/// Limits the repeats (retries) of requests to one service, summed over all
/// instances.
struct repeat_limits {
  double ratio = 0.2;  ///< Repeats per request.
  double extra = 10;   ///< Repeats per window in addition to the ratio.
  std::chrono::seconds window{10};
};

/// Limits the requests to a cold upstream, summed over all instances.
struct warmup_limits {
  double overshoot = 1.5;  ///< Factor on the service's configured warm-up rate.
  double slack = 5;        ///< Requests per second in addition.
};

/// Limits of the time that an upstream or an instance has for its shutdown.
struct shutdown_timeouts {
  /// Time for a leaving upstream to become idle.
  std::chrono::milliseconds drain_timeout{3000};
  /// Time from SIGTERM to SIGKILL.
  std::chrono::milliseconds shutdown_timeout{6000};
};

/// The settings file of one entry instance.
struct entry_settings {
  std::string name;
  std::string data_centre;
  std::string region;
  endpoint callers;
  endpoint readiness;
  endpoint control;  ///< Accepts connections from other instances.
  endpoint metrics;
  endpoint store;
  std::vector<std::string> seeds;  ///< Control addresses of other instances.
  std::size_t descriptors = 1024;  ///< Limit of open file descriptors.
  /// CPU cores available to this instance; may be fractional. 0 if unknown.
  double cores = 0;
  /// Memory that the process may use, in bytes.
  std::size_t memory_bytes = 256UL * 1000 * 1000;
  repeat_limits repeats;
  warmup_limits warmup;
  shutdown_timeouts bounds;
  change_delays delays;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_STATE_ENTRY_SETTINGS_H_
