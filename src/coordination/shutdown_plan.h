#ifndef PAPAYAGLADE_COORDINATION_SHUTDOWN_PLAN_H_
#define PAPAYAGLADE_COORDINATION_SHUTDOWN_PLAN_H_

#include <chrono>

#include "state/time.h"

namespace papayaglade {

/// The times of one shutdown, and which requests may still be taken. They are
/// fixed when the shutdown begins. The class does no I/O.
class shutdown_plan {
 public:
  /// `bound` is the time from `start` until the process is killed.
  shutdown_plan(monotonic_time start, std::chrono::milliseconds bound);

  monotonic_time Start() const { return start_; }
  /// Returns the time by which the balancer has stopped sending callers. The
  /// process does not end before, even if it is idle.
  monotonic_time BalancerNoticed() const;
  /// Returns the time at which the port closes. Connections that are accepted
  /// then have until CloseIdle to send a request.
  monotonic_time ClosePort() const;
  /// Returns the time from which idle connections are closed.
  monotonic_time CloseIdle() const;
  /// Returns the time by which each request is answered.
  monotonic_time AnswerBy() const;
  /// Returns the time at which the process ends in any case. The time since
  /// AnswerBy is for writing the answers.
  monotonic_time ForcedEnd() const;

  /// Returns whether a request that takes up to `needed` is answered in time if
  /// it is taken at `now`.
  bool MayTake(std::chrono::milliseconds needed, monotonic_time now) const;

 private:
  monotonic_time AtShare(double share) const;

  monotonic_time start_;
  std::chrono::milliseconds bound_;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_COORDINATION_SHUTDOWN_PLAN_H_
