#ifndef PAPAYAGLADE_TRANSPORT_LOOP_CONTEXT_H_
#define PAPAYAGLADE_TRANSPORT_LOOP_CONTEXT_H_

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstddef>
#include <optional>

#include "coordination/timer_queue.h"
#include "state/time.h"

namespace papayaglade {

/// An event loop with its timers and the read buffer that all of its sockets
/// share. All members are used on the thread that calls Run.
class loop_context {
 public:
  static constexpr std::size_t kReadBytes = 64 * 1024;

  loop_context();

  boost::asio::io_context& Io() { return io_; }
  std::array<char, kReadBytes>& ReadBuffer() { return read_buffer_; }

  static monotonic_time Now() { return monotonic_clock::now(); }

  /// Runs `handler` on the loop at `when`, unless it is cancelled before.
  timer_queue::id ScheduleAt(monotonic_time when, timer_queue::handler handler);
  timer_queue::id ScheduleAfter(std::chrono::milliseconds delay,
                                timer_queue::handler handler);
  void Cancel(timer_queue::id timer) { timers_.Cancel(timer); }

  /// Runs the loop until Stop, also while it has no work.
  void Run();
  void Stop() { io_.stop(); }

 private:
  void ArmTimer();

  boost::asio::io_context io_;
  boost::asio::steady_timer timer_;
  /// Expiry of `timer_`; empty if it is not armed.
  std::optional<monotonic_time> timer_expiry_;
  timer_queue timers_;
  std::array<char, kReadBytes> read_buffer_;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_TRANSPORT_LOOP_CONTEXT_H_
