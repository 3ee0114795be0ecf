#ifndef PAPAYAGLADE_STATE_ENTRY_SETTINGS_H_
#define PAPAYAGLADE_STATE_ENTRY_SETTINGS_H_

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

#include "state/identity.h"

namespace papayaglade {

/// The bound on repeats of one service, summed over all instances.
struct repeat_limits {
  double ratio = 0.2;  ///< Repeats a request.
  double extra = 10;   ///< Repeats in a window beyond the ratio.
  std::chrono::seconds window{10};
};

/// The bound on requests to a cold upstream, summed over all instances.
struct warmup_limits {
  double overshoot = 1.5;  ///< Times the rate that the service states.
  double slack = 5;        ///< Requests a second beyond that.
};

/// How long the phases of a change may take.
struct shutdown_timeouts {
  std::chrono::milliseconds drain_timeout{
      3000};  ///< Until a leaving upstream is idle.
  std::chrono::milliseconds shutdown_timeout{
      6000};  ///< From SIGTERM to SIGKILL.
};

/// The settings file of one entry instance.
struct entry_settings {
  std::string name;
  std::string data_centre;
  std::string region;
  endpoint callers;
  endpoint readiness;
  endpoint control;  ///< Other instances call here.
  endpoint metrics;
  endpoint store;
  std::vector<std::string> seeds;  ///< Control addresses of other instances.
  std::size_t descriptors = 1024;
  double cores = 0;  ///< Share of processors of this instance; 0: not known.
  repeat_limits repeats;
  warmup_limits warmup;
  shutdown_timeouts bounds;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_STATE_ENTRY_SETTINGS_H_
