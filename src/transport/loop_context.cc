#include "transport/loop_context.h"

#include <utility>

namespace papayaglade {

loop_context::loop_context() : io_(1), timer_(io_), read_buffer_{} {}

timer_queue::id loop_context::ScheduleAt(monotonic_time when,
                                         timer_queue::handler handler) {
  const timer_queue::id timer = timers_.Schedule(when, std::move(handler));
  ArmTimer();
  return timer;
}

timer_queue::id loop_context::ScheduleAfter(std::chrono::milliseconds delay,
                                            timer_queue::handler handler) {
  return ScheduleAt(Now() + delay, std::move(handler));
}

void loop_context::Run() {
  const auto work = boost::asio::make_work_guard(io_);
  io_.run();
}

// Setting the timer costs a system call, so it is only moved to an earlier
// time. After a cancellation it may expire with nothing due.
void loop_context::ArmTimer() {
  const auto next = timers_.Next();
  if (!next.has_value()) return;
  if (timer_expiry_.has_value() && *timer_expiry_ <= *next) return;
  timer_expiry_ = next;
  timer_.expires_at(*next);
  timer_.async_wait([this](const boost::system::error_code& failed) {
    if (failed) return;
    timer_expiry_.reset();
    timers_.RunDue(Now());
    ArmTimer();
  });
}

}  // namespace papayaglade
