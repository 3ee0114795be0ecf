#ifndef PAPAYAGLADE_COORDINATION_TIMER_QUEUE_H_
#define PAPAYAGLADE_COORDINATION_TIMER_QUEUE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>

#include "state/time.h"

namespace papayaglade {

/// Holds one-shot timers in the order of their times. It has no clock; the
/// owner calls RunDue.
class timer_queue {
 public:
  using id = std::uint64_t;
  using handler = std::function<void(monotonic_time now)>;

  id Schedule(monotonic_time when, handler handler);
  /// Cancels a timer; does nothing if it has run or was cancelled.
  void Cancel(id timer);

  /// Returns the time of the next timer; nothing if there is none.
  std::optional<monotonic_time> Next() const;
  /// Runs the handlers of all timers that are due at `now`.
  void RunDue(monotonic_time now);

 private:
  using key = std::pair<monotonic_time, id>;

  id last_id_ = 0;
  std::map<key, handler> timers_;
  std::unordered_map<id, monotonic_time> times_by_id_;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_COORDINATION_TIMER_QUEUE_H_
