#ifndef PAPAYAGLADE_COORDINATION_RESTART_DETECTOR_H_
#define PAPAYAGLADE_COORDINATION_RESTART_DETECTOR_H_

#include "state/time.h"

namespace papayaglade {

/// Tells the end of one connection from the end of the process behind it.
class restart_detector {
 public:
  /// A connection was reset, `was_busy` with work or not, and `remaining`
  /// remain; returns whether the upstream may have restarted.
  bool OnReset(bool was_busy, int remaining, monotonic_time now);

  /// The upstream closed a connection after its reply; returns whether this
  /// looks like a drain.
  bool OnClose(monotonic_time now);

 private:
  monotonic_time last_reset_{};
  int resets_in_window_ = 0;
  monotonic_time last_close_{};
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_COORDINATION_RESTART_DETECTOR_H_
