#ifndef PAPAYAGLADE_COORDINATION_SLOW_START_H_
#define PAPAYAGLADE_COORDINATION_SLOW_START_H_

#include <chrono>

#include "state/time.h"

namespace papayaglade {

/// How fast a limit may grow.
struct slow_start_settings {
  int successes_per_slot = 8;  ///< Successes per slot of the present limit.
  std::chrono::milliseconds min_raise_interval{
      250};  ///< Least time between two raises.
};

/// A concurrency limit between a floor and a ceiling that grows by one for
/// each window of successes which used the present limit in full.
class slow_start {
 public:
  slow_start(int floor, int ceiling, const slow_start_settings& settings);

  int Limit() const { return limit_; }
  int Floor() const { return floor_; }
  bool AtFloor() const { return limit_ <= floor_; }
  /// Whether the ceiling itself is proven by a window of successes.
  bool ProvenAtCeiling() const { return proven_at_ceiling_; }

  /// `in_flight` counts the requests at the sending of the one that succeeded.
  void OnSuccess(int in_flight, monotonic_time now);

  /// Halves the limit, not below the floor.
  void HalveLimit(monotonic_time now);

  /// Back to the floor; no raise before `min_time_at_floor` has passed.
  void Reset(monotonic_time now, std::chrono::milliseconds min_time_at_floor);

  /// Takes over a limit proven elsewhere; never raises above the ceiling.
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
