#ifndef PAPAYAGLADE_COORDINATION_TIMER_SERVICE_H_
#define PAPAYAGLADE_COORDINATION_TIMER_SERVICE_H_

#include <chrono>
#include <cstdint>
#include <functional>

#include "state/time.h"

namespace papayaglade {

/// Source of time for all components, which subscribe to periodic ticks.
class timer_service {
 public:
  using subscription = std::uint64_t;
  using tick_handler = std::function<void(monotonic_time now)>;

  virtual ~timer_service() = default;

  virtual monotonic_time Now() const = 0;

  /// Calls `handler` every `period` until cancelled. The handler runs on the
  /// thread of the timer and must not block; in daemons it pushes into a ring.
  virtual subscription Subscribe(std::chrono::milliseconds period,
                                 tick_handler handler) = 0;

  /// The handler is not called again after this has returned.
  virtual void Cancel(subscription id) = 0;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_COORDINATION_TIMER_SERVICE_H_
