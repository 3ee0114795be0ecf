#include "coordination/health_schedule.h"

#include <algorithm>

namespace papayaglade {

namespace {

// One unanswered check may be due to a single broken connection.
constexpr int kUnansweredUntilSilent = 2;

}  // namespace

health_schedule::health_schedule(std::chrono::milliseconds period,
                                 std::chrono::milliseconds max_interval)
    : period_(period), max_interval_(max_interval), probe_interval_(period) {}

void health_schedule::OnReply(monotonic_time now) {
  last_reply_ = now;
  unanswered_ = 0;
  probe_interval_ = period_;
}

bool health_schedule::OnUnanswered(monotonic_time now) {
  next_check_at_ = now;
  if (++unanswered_ < kUnansweredUntilSilent) return false;
  next_check_at_ = now + probe_interval_;
  probe_interval_ = std::min(probe_interval_ * 2, max_interval_);
  return true;
}

}  // namespace papayaglade
