#ifndef PAPAYAGLADE_COORDINATION_SLOW_START_H_
#define PAPAYAGLADE_COORDINATION_SLOW_START_H_

#include <chrono>

#include "state/time.h"

namespace papayaglade {

/// Settings for how fast a limit grows.
struct slow_start_settings {
  int successes_per_slot = 8;  ///< Needed for a raise, per slot of the limit.
  std::chrono::milliseconds min_raise_interval{250};
};

/// A concurrency limit between a floor and a ceiling. It grows by one after
/// each window of successes that used the current limit in full.
class slow_start {
 public:
  slow_start(int floor, int ceiling, const slow_start_settings& settings);

  int Limit() const { return limit_; }
  int Floor() const { return floor_; }
  bool AtFloor() const { return limit_ <= floor_; }
  /// Returns whether a window of successes has proven the ceiling itself.
  bool ProvenAtCeiling() const { return proven_at_ceiling_; }

  /// Records a success. `in_flight` is the number of requests in flight when
  /// the request was sent, including itself.
  void OnSuccess(int in_flight, monotonic_time now);

  /// Halves the limit, not below the floor.
  void HalveLimit(monotonic_time now);

  /// Returns to the floor. No raise follows before `min_time_at_floor` has
  /// passed.
  void Reset(monotonic_time now, std::chrono::milliseconds min_time_at_floor);

  /// Sets a limit that another steward has proven, clamped to the bounds.
  void RestoreLimit(int limit, bool proven_at_ceiling, monotonic_time now);

  void SetBounds(int floor, int ceiling);

 private:
  void StartWindow(monotonic_time next_raise_at);

  int floor_;
  int ceiling_;
  slow_start_settings settings_;
  int limit_;
  int successes_ = 0;
  bool proven_at_ceiling_ = false;
  monotonic_time next_raise_at_{};
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_COORDINATION_SLOW_START_H_
