#include "coordination/response_times.h"

#include <algorithm>

namespace papayaglade {

namespace {

// One reply moves the mean by a sixteenth of the difference.
constexpr int kMeanWeight = 16;
// A straggler counts as at most this many times the mean.
constexpr int kMaxMeanMultiple = 4;
constexpr int kSlowFactor = 3;
constexpr std::chrono::microseconds kMinSlowTime{2000};
// If one reply in twenty is slow, eight consecutive slow replies occur by
// chance once in 10^10 replies.
constexpr int kSlowStreakLength = 8;
constexpr int kEarlySamples = 32;
// Each early sample moves the median by an eighth of its value.
constexpr int kEarlyMedianDivisor = 8;
constexpr int kSettledMedianDivisor = 64;

std::chrono::microseconds UpdateMean(std::chrono::microseconds mean,
                                     std::chrono::microseconds took) {
  if (mean.count() == 0) return took;
  const auto clipped = std::min(took, mean * kMaxMeanMultiple);
  const auto moved = mean + (clipped - mean) / kMeanWeight;
  return std::max(moved, std::chrono::microseconds(1));
}

}  // namespace

void response_times::Add(std::chrono::microseconds took, bool warm) {
  recent_mean_ = UpdateMean(recent_mean_, took);
  slow_streak_ = IsSlow(took) ? slow_streak_ + 1 : 0;
  if (warm) UpdateWarmMedian(took);
}

void response_times::UpdateWarmMedian(std::chrono::microseconds took) {
  if (!HasWarmMedian()) {
    warm_median_ = std::max(recent_mean_, std::chrono::microseconds(1));
    warm_samples_ = 0;
  }
  // With small steps, the few replies of an upstream that has become cold
  // unnoticed hardly change the median.
  const int step = warm_samples_ < kEarlySamples ? kEarlyMedianDivisor
                                                 : kSettledMedianDivisor;
  ++warm_samples_;
  const auto move = warm_median_ / step + std::chrono::microseconds(1);
  warm_median_ += took > warm_median_ ? move : -move;
  warm_median_ = std::max(warm_median_, std::chrono::microseconds(1));
}

bool response_times::IsSlow(std::chrono::microseconds took) const {
  if (!HasWarmMedian()) return false;
  return took > std::max(warm_median_ * kSlowFactor, kMinSlowTime);
}

bool response_times::HasSlowStreak() const {
  return slow_streak_ >= kSlowStreakLength;
}

void response_times::ClearWarmMedian() {
  warm_median_ = std::chrono::microseconds(0);
  slow_streak_ = 0;
}

}  // namespace papayaglade
