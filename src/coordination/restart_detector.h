#ifndef PAPAYAGLADE_COORDINATION_RESTART_DETECTOR_H_
#define PAPAYAGLADE_COORDINATION_RESTART_DETECTOR_H_

#include "state/time.h"

namespace papayaglade {

/// Distinguishes the end of a single connection from the end of the process
/// behind it.
class restart_detector {
 public:
  /// Records that a connection was reset. `was_busy` tells whether it carried
  /// work; `remaining` is the number of connections still open. Returns whether
  /// the upstream may have restarted.
  bool OnReset(bool was_busy, int remaining, monotonic_time now);

  /// Records that the upstream closed a connection after its reply. Returns
  /// whether the upstream seems to drain its connections.
  bool OnClose(monotonic_time now);

 private:
  monotonic_time last_reset_{};
  int resets_in_window_ = 0;
  monotonic_time last_close_{};
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_COORDINATION_RESTART_DETECTOR_H_
