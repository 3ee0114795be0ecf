#ifndef PAPAYAGLADE_COORDINATION_RESET_WATCH_H_
#define PAPAYAGLADE_COORDINATION_RESET_WATCH_H_

#include "state/time.h"

namespace papayaglade {

/// Tells the end of one connection from the end of the process behind it.
class reset_watch {
 public:
  /// A connection was reset, `busy` with work or not, and `left` remain;
  /// returns whether the upstream may have restarted.
  bool OnReset(bool busy, int left, monotonic_time now);

  /// The upstream closed a connection after its reply; returns whether this
  /// looks like a drain.
  bool OnClose(monotonic_time now);

 private:
  monotonic_time last_reset_{};
  int resets_ = 0;
  monotonic_time last_close_{};
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_COORDINATION_RESET_WATCH_H_
