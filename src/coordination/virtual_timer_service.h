#ifndef PAPAYAGLADE_COORDINATION_VIRTUAL_TIMER_SERVICE_H_
#define PAPAYAGLADE_COORDINATION_VIRTUAL_TIMER_SERVICE_H_

#include <chrono>
#include <map>

#include "coordination/timer_service.h"

namespace papayaglade {

/// Timer service whose time only moves by Advance, for tests and models.
class virtual_timer_service : public timer_service {
 public:
  monotonic_time Now() const override { return now_; }
  subscription Subscribe(std::chrono::milliseconds period,
                         tick_handler handler) override;
  void Cancel(subscription id) override;

  /// Moves the time forward and calls the due handlers in order of time.
  void Advance(std::chrono::microseconds by);

 private:
  struct entry {
    std::chrono::milliseconds period;
    monotonic_time next;
    tick_handler handler;
  };

  monotonic_time now_{std::chrono::hours(1)};
  subscription last_id_ = 0;
  std::map<subscription, entry> entries_;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_COORDINATION_VIRTUAL_TIMER_SERVICE_H_
