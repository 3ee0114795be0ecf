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
  // A success below the limit does not prove the limit.
  if (in_flight < limit_) return;
  if (++successes_ < settings_.successes_per_slot * limit_) return;
  if (now < next_raise_at_) return;
  proven_at_ceiling_ = limit_ >= ceiling_;
  limit_ = std::min(limit_ + 1, ceiling_);
  StartWindow(now + settings_.min_raise_interval);
}

void slow_start::HalveLimit(monotonic_time now) {
  limit_ = std::max(floor_, limit_ / 2);
  proven_at_ceiling_ = false;
  StartWindow(now + settings_.min_raise_interval);
}

void slow_start::Reset(monotonic_time now,
                       std::chrono::milliseconds min_time_at_floor) {
  limit_ = floor_;
  proven_at_ceiling_ = false;
  StartWindow(now + min_time_at_floor);
}

void slow_start::RestoreLimit(int limit, bool proven_at_ceiling,
                              monotonic_time now) {
  limit_ = std::clamp(limit, floor_, ceiling_);
  proven_at_ceiling_ = proven_at_ceiling && limit >= ceiling_;
  StartWindow(now + settings_.min_raise_interval);
}

void slow_start::SetBounds(int floor, int ceiling) {
  // Work at the previous ceiling does not prove a higher one.
  if (ceiling > ceiling_) proven_at_ceiling_ = false;
  ceiling_ = ceiling;
  floor_ = std::min(floor, ceiling);
  limit_ = std::clamp(limit_, floor_, ceiling_);
}

void slow_start::StartWindow(monotonic_time next_raise_at) {
  successes_ = 0;
  next_raise_at_ = next_raise_at;
}

}  // namespace papayaglade
