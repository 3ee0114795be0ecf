#include "coordination/health_schedule.h"

#include <algorithm>

namespace papayaglade {

namespace {

constexpr int kUnansweredChecks = 2;  // One may be a single broken connection.

}  // namespace

health_schedule::health_schedule(std::chrono::milliseconds period,
                                 std::chrono::milliseconds longest_wait)
    : period_(period), longest_wait_(longest_wait), wait_(period) {}

void health_schedule::OnReply(monotonic_time now) {
  last_reply_ = now;
  unanswered_ = 0;
  wait_ = period_;
}

bool health_schedule::OnUnanswered(monotonic_time now) {
  due_ = now;
  if (++unanswered_ < kUnansweredChecks) return false;
  due_ = now + wait_;
  wait_ = std::min(wait_ * 2, longest_wait_);
  return true;
}

}  // namespace papayaglade
