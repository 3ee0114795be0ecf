#ifndef PAPAYAGLADE_COORDINATION_STALL_MONITOR_H_
#define PAPAYAGLADE_COORDINATION_STALL_MONITOR_H_

#include <chrono>

#include "state/time.h"

namespace papayaglade {

/// Tells from a periodic timer whether the event loop has stalled, so that an
/// event which is handled late is not taken for a new one. The class does no
/// I/O.
class stall_monitor {
 public:
  stall_monitor(std::chrono::milliseconds interval, monotonic_time now);

  /// Records that the timer runs, which is due once in each interval.
  void OnTimer(monotonic_time now);
  /// Returns the earliest time at which an event that is handled at `now` may
  /// have happened: `now` unless the loop has stalled until then.
  monotonic_time EarliestTime(monotonic_time now) const;

 private:
  std::chrono::milliseconds interval_;
  monotonic_time previous_;  ///< Time of the last run but one.
  monotonic_time last_;      ///< Time of the last run.
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_COORDINATION_STALL_MONITOR_H_
