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
  std::chrono::microseconds Recent() const { return recent_; }
  /// Median of warm replies; zero when not learnt.
  std::chrono::microseconds Warm() const { return warm_; }
  bool WarmKnown() const { return warm_.count() > 0; }

  /// Whether `took` is so slow that it speaks for a cold start.
  bool Slow(std::chrono::microseconds took) const;

  /// Whether the last replies were far off one after the other.
  bool FarOff() const;

  void ForgetWarm();
  /// Starts the count of slow replies anew.
  void ForgiveSlow() { slow_in_row_ = 0; }
  void AdoptWarm(std::chrono::microseconds warm) { warm_ = warm; }

 private:
  void LearnWarm(std::chrono::microseconds took);

  std::chrono::microseconds recent_{0};
  std::chrono::microseconds warm_{0};
  int warm_samples_ = 0;
  int slow_in_row_ = 0;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_COORDINATION_RESPONSE_TIMES_H_
