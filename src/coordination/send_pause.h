#ifndef PAPAYAGLADE_COORDINATION_SEND_PAUSE_H_
#define PAPAYAGLADE_COORDINATION_SEND_PAUSE_H_

#include <chrono>
#include <cstddef>
#include <limits>

#include "state/fleet_position.h"
#include "state/time.h"

namespace papayaglade {

/// A pause that an upstream has asked for, and the gradual return of the load
/// after it. The class does no I/O.
class send_pause {
 public:
  static constexpr std::size_t kNoLimit =
      std::numeric_limits<std::size_t>::max();

  /// Starts a pause of `wait`, or extends the present one. The instances of a
  /// fleet end their pauses one after the other, each at its own `position`.
  void Start(std::chrono::milliseconds wait, const fleet_position& position,
             monotonic_time now);
  /// Records an answer to an attempt that was sent at `sent`. After a pause,
  /// each answer doubles the number of attempts that may be pending.
  void RecordAnswer(monotonic_time sent);

  /// Returns the time before which nothing may be sent.
  monotonic_time Until() const { return until_; }
  /// Returns how many attempts may be pending at once: one after a pause, more
  /// with each answer, and kNoLimit in the end.
  std::size_t MaxPending() const { return max_pending_; }

 private:
  monotonic_time until_;
  std::size_t max_pending_ = kNoLimit;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_COORDINATION_SEND_PAUSE_H_
