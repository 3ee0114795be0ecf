#include "transport/loop_context.h"

#include <utility>

namespace papayaglade {

loop_context::loop_context() : io_(1), timer_(io_), read_buffer_{} {}

timer_queue::id loop_context::At(monotonic_time when,
                                 timer_queue::handler handler) {
  const timer_queue::id wake = wakes_.Schedule(when, std::move(handler));
  Arm();
  return wake;
}

timer_queue::id loop_context::After(std::chrono::milliseconds delay,
                                    timer_queue::handler handler) {
  return At(Now() + delay, std::move(handler));
}

void loop_context::Run() {
  const auto work = boost::asio::make_work_guard(io_);
  io_.run();
}

// Setting the timer costs a system call, so it is only moved forward; a wake
// that was cancelled leaves it to fire for nothing.
void loop_context::Arm() {
  const auto next = wakes_.Next();
  if (!next.has_value()) return;
  if (armed_.has_value() && *armed_ <= *next) return;
  armed_ = next;
  timer_.expires_at(*next);
  timer_.async_wait([this](const boost::system::error_code& failed) {
    if (failed) return;
    armed_.reset();
    wakes_.RunDue(Now());
    Arm();
  });
}

}  // namespace papayaglade
