#include "coordination/response_times.h"

#include <algorithm>

namespace papayaglade {

namespace {

constexpr int kWeight = 16;  // One reply moves a mean by a sixteenth.
constexpr int kClip = 4;     // A straggler counts as this many means at most.
constexpr int kSlowFactor = 3;
constexpr std::chrono::microseconds kSlowFloor{2000};
// One reply in a hundred is a straggler; five in a row by chance come once in
// 10^10 replies.
constexpr int kSlowInRow = 5;

std::chrono::microseconds Blend(std::chrono::microseconds mean,
                                std::chrono::microseconds took) {
  if (mean.count() == 0) return took;
  const auto clipped = std::min(took, mean * kClip);
  const auto moved = mean + (clipped - mean) / kWeight;
  return std::max(moved, std::chrono::microseconds(1));
}

}  // namespace

void response_times::Add(std::chrono::microseconds took, bool warm) {
  recent_ = Blend(recent_, took);
  slow_in_row_ = Slow(took) ? slow_in_row_ + 1 : 0;
  if (warm) warm_ = Blend(warm_, took);
}

bool response_times::Slow(std::chrono::microseconds took) const {
  if (!WarmKnown()) return false;
  return took > std::max(warm_ * kSlowFactor, kSlowFloor);
}

bool response_times::FarOff() const { return slow_in_row_ >= kSlowInRow; }

void response_times::ForgetWarm() {
  warm_ = std::chrono::microseconds(0);
  slow_in_row_ = 0;
}

}  // namespace papayaglade
