#ifndef PAPAYAGLADE_COORDINATION_RESPONSE_TIMES_H_
#define PAPAYAGLADE_COORDINATION_RESPONSE_TIMES_H_

#include <chrono>

namespace papayaglade {

/// Learns how long an upstream takes when warm, and tells what is far off.
class response_times {
 public:
  /// `warm` tells whether the reply may teach the warm speed.
  void Add(std::chrono::microseconds took, bool warm);

  /// Mean of recent replies in any phase; zero when none.
  std::chrono::microseconds RecentMean() const { return recent_mean_; }
  /// Median of warm replies; zero when not learnt.
  std::chrono::microseconds WarmMedian() const { return warm_median_; }
  bool HasWarmMedian() const { return warm_median_.count() > 0; }

  /// Whether `took` is so slow that it speaks for a cold start.
  bool IsSlow(std::chrono::microseconds took) const;

  /// Whether the last replies were far off one after the other.
  bool HasSlowStreak() const;

  void ClearWarmMedian();
  /// Starts the count of slow replies anew.
  void ResetSlowStreak() { slow_streak_ = 0; }
  void SetWarmMedian(std::chrono::microseconds warm) { warm_median_ = warm; }

 private:
  void UpdateWarmMedian(std::chrono::microseconds took);

  std::chrono::microseconds recent_mean_{0};
  std::chrono::microseconds warm_median_{0};
  int warm_samples_ = 0;
  int slow_streak_ = 0;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_COORDINATION_RESPONSE_TIMES_H_
