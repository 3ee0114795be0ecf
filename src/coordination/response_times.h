#ifndef PAPAYAGLADE_COORDINATION_RESPONSE_TIMES_H_
#define PAPAYAGLADE_COORDINATION_RESPONSE_TIMES_H_

#include <chrono>

namespace papayaglade {

/// Estimates the response time of a warm upstream and detects replies that are
/// much slower.
class response_times {
 public:
  /// Adds the response time of a reply. `warm` tells whether it counts towards
  /// the warm median.
  void Add(std::chrono::microseconds took, bool warm);

  /// Returns the mean of recent replies in any phase; zero if there are none.
  std::chrono::microseconds RecentMean() const { return recent_mean_; }
  /// Returns the median of warm replies; zero if it is unknown.
  std::chrono::microseconds WarmMedian() const { return warm_median_; }
  bool HasWarmMedian() const { return warm_median_.count() > 0; }

  /// Returns whether `took` is so slow that it indicates a cold start.
  bool IsSlow(std::chrono::microseconds took) const;

  /// Returns whether enough consecutive replies were slow.
  bool HasSlowStreak() const;

  void ClearWarmMedian();
  /// Restarts the count of consecutive slow replies.
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
