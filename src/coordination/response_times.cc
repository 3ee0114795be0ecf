#include "coordination/response_times.h"

#include <algorithm>

namespace papayaglade {

namespace {

constexpr int kWeight = 16;  // One reply moves the mean by a sixteenth.
constexpr int kClip = 4;     // A straggler counts as this many means at most.
constexpr int kSlowFactor = 3;
constexpr std::chrono::microseconds kSlowFloor{2000};
// With one reply in twenty that slow, eight in a row come by chance once in
// 10^10 replies.
constexpr int kSlowInRow = 8;
constexpr int kEarlySamples = 32;
constexpr int kEarlyStep = 8;  // The median moves by an eighth of itself.
constexpr int kSettledStep = 64;

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
  if (warm) LearnWarm(took);
}

void response_times::LearnWarm(std::chrono::microseconds took) {
  if (!WarmKnown()) {
    warm_ = std::max(recent_, std::chrono::microseconds(1));
    warm_samples_ = 0;
  }
  // A median that moves by small steps hardly follows the few replies of an
  // upstream that went cold unnoticed.
  const int step = warm_samples_ < kEarlySamples ? kEarlyStep : kSettledStep;
  ++warm_samples_;
  const auto move = warm_ / step + std::chrono::microseconds(1);
  warm_ += took > warm_ ? move : -move;
  warm_ = std::max(warm_, std::chrono::microseconds(1));
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
