#include "coordination/stall_monitor.h"

namespace papayaglade {

namespace {

using std::chrono::milliseconds;

// Delay of a timer up to which the loop has not stalled.
constexpr milliseconds kTolerance{50};
// Events are handled this long after the timer in the same turn of the loop.
constexpr milliseconds kTurn{10};

}  // namespace

stall_monitor::stall_monitor(milliseconds interval, monotonic_time now)
    : interval_(interval), previous_(now), last_(now) {}

void stall_monitor::OnTimer(monotonic_time now) {
  previous_ = last_;
  last_ = now;
}

monotonic_time stall_monitor::EarliestTime(monotonic_time now) const {
  const milliseconds longest = interval_ + kTolerance;
  if (now - last_ > longest) return last_;
  const bool in_turn = now - last_ <= kTurn;
  return in_turn && last_ - previous_ > longest ? previous_ : now;
}

}  // namespace papayaglade
