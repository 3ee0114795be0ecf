#ifndef PAPAYAGLADE_COORDINATION_OBSERVED_HEALTH_H_
#define PAPAYAGLADE_COORDINATION_OBSERVED_HEALTH_H_

#include <chrono>
#include <cstddef>
#include <vector>

#include "state/time.h"

namespace papayaglade {

/// Tracks the health of one upstream as this instance observes it: its slowness
/// relative to other upstreams, its failures, and its pending attempts.
class observed_health {
 public:
  static constexpr std::chrono::milliseconds kMinDecayTime{1500};

  /// Records that an attempt was sent. Returns the time to pass to the method
  /// that ends it.
  monotonic_time BeginAttempt(monotonic_time now,
                              std::chrono::microseconds overdue_after);

  /// Records an answer; `expected` is the usual latency of such an answer.
  /// Unblocks the upstream.
  void RecordAnswer(monotonic_time begun, std::chrono::microseconds expected,
                    monotonic_time now);

  /// Records an attempt that was cancelled because it had not been answered in
  /// time. Its latency would have been longer than it has lasted so far.
  void RecordLate(monotonic_time begun, std::chrono::microseconds expected,
                  monotonic_time now);

  /// Records an attempt that the upstream failed or refused.
  void RecordFailure(monotonic_time begun, monotonic_time now);

  /// Records an attempt that was given up without an answer, and blocks the
  /// upstream.
  void RecordTimeout(monotonic_time begun, monotonic_time now);

  /// Ends an attempt whose result says nothing about the upstream.
  void RecordCancellation(monotonic_time begun);

  /// Blocks the upstream because a connection was refused or timed out.
  void RecordConnectFailure(monotonic_time now);

  /// Returns the time before which nothing may be sent.
  monotonic_time BlockedUntil() const { return blocked_until_; }

  /// Returns whether the upstream was blocked and has not answered since.
  bool IsOnProbation() const {
    return block_duration_ > std::chrono::milliseconds(0);
  }

  /// Returns the latency relative to the usual one: 1 is usual, 2 is twice as
  /// long. Decays towards 1 without samples.
  double Slowness(monotonic_time now) const;
  /// Returns the share of recent attempts that failed, 0 to 1. Decays towards 0
  /// without samples.
  double FailureShare(monotonic_time now) const;
  /// Returns the age of the oldest pending attempt, or zero if there is none.
  std::chrono::microseconds OldestPendingAge(monotonic_time now) const;
  std::size_t PendingCount() const { return pending_.size(); }
  /// Returns whether an attempt is overdue.
  bool HasOverdue(monotonic_time now) const;
  /// Sets the time constant with which slowness and failures decay without
  /// samples.
  void SetDecayTime(std::chrono::duration<double> decay_time) {
    decay_time_ = decay_time;
  }
  /// Lifts a block whose cause has passed.
  void Unblock() { blocked_until_ = {}; }

 private:
  struct pending_attempt {
    monotonic_time begun;
    monotonic_time overdue_at;
  };

  void RemovePending(monotonic_time begun);
  void Block(monotonic_time now);

  std::vector<pending_attempt> pending_;
  std::chrono::duration<double> decay_time_{kMinDecayTime};
  double slowness_ = 1;
  double failure_share_ = 0;
  monotonic_time last_sample_at_;
  monotonic_time blocked_until_;
  std::chrono::milliseconds block_duration_{0};
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_COORDINATION_OBSERVED_HEALTH_H_
