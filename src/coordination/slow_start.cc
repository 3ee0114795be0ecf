#include "coordination/slow_start.h"

#include <algorithm>

namespace papayaglade {

slow_start::slow_start(int floor, int ceiling,
                       const slow_start_settings& settings)
    : floor_(std::min(floor, ceiling)),
      ceiling_(ceiling),
      settings_(settings),
      limit_(floor_) {}

void slow_start::OnSuccess(int in_flight, monotonic_time now) {
  // A success below the limit says nothing about work at the limit.
  if (in_flight < limit_) return;
  if (++successes_ < settings_.successes_per_slot * limit_) return;
  if (now < raise_not_before_) return;
  proven_at_ceiling_ = limit_ >= ceiling_;
  limit_ = std::min(limit_ + 1, ceiling_);
  StartWindow(now + settings_.step);
}

void slow_start::Lower(monotonic_time now) {
  limit_ = std::max(floor_, limit_ / 2);
  proven_at_ceiling_ = false;
  StartWindow(now + settings_.step);
}

void slow_start::Reset(monotonic_time now, std::chrono::milliseconds dwell) {
  limit_ = floor_;
  proven_at_ceiling_ = false;
  StartWindow(now + dwell);
}

void slow_start::Adopt(int limit, bool proven_at_ceiling, monotonic_time now) {
  limit_ = std::clamp(limit, floor_, ceiling_);
  proven_at_ceiling_ = proven_at_ceiling && limit >= ceiling_;
  StartWindow(now + settings_.step);
}

void slow_start::SetBounds(int floor, int ceiling) {
  // A higher ceiling is not proven by work at the former one.
  if (ceiling > ceiling_) proven_at_ceiling_ = false;
  ceiling_ = ceiling;
  floor_ = std::min(floor, ceiling);
  limit_ = std::clamp(limit_, floor_, ceiling_);
}

void slow_start::StartWindow(monotonic_time raise_not_before) {
  successes_ = 0;
  raise_not_before_ = raise_not_before;
}

}  // namespace papayaglade
