#ifndef PAPAYAGLADE_COORDINATION_OBSERVED_HEALTH_H_
#define PAPAYAGLADE_COORDINATION_OBSERVED_HEALTH_H_

#include <chrono>
#include <cstddef>
#include <vector>

#include "state/time.h"

namespace papayaglade {

/// What this instance has seen of one upstream: how slow it is against others
/// of its kind, how often it fails, and what it has not answered yet.
class observed_health {
 public:
  static constexpr std::chrono::milliseconds kMinDecayTime{1500};

  /// An attempt was sent, and is overdue after `overdue_after`; returns the
  /// mark to end it with.
  monotonic_time BeginAttempt(monotonic_time now,
                              std::chrono::microseconds overdue_after);

  /// It answered; `expected` is what such an answer usually takes.
  void RecordAnswer(monotonic_time begun, std::chrono::microseconds expected,
                    monotonic_time now);

  /// It failed by itself, or refused; `begun` ends the attempt.
  void RecordFailure(monotonic_time begun, monotonic_time now);

  /// No answer came before this instance gave up on it.
  void RecordTimeout(monotonic_time begun, monotonic_time now);

  /// This instance lost interest: tells nothing of the upstream.
  void RecordCancellation(monotonic_time begun);

  /// It cannot be reached: a connection was refused or timed out.
  void RecordConnectFailure(monotonic_time now);

  /// Nothing is to be sent before this time.
  monotonic_time BlockedUntil() const { return blocked_until_; }

  /// It was blocked and has not answered since.
  bool IsOnProbation() const {
    return block_duration_ > std::chrono::milliseconds(0);
  }

  /// 1 is usual, 2 takes twice as long; fades towards 1 without samples.
  double Slowness(monotonic_time now) const;
  /// Share of recent attempts that failed, 0 to 1; fades too.
  double FailureShare(monotonic_time now) const;
  /// Age of the oldest attempt without an answer; zero when there is none.
  std::chrono::microseconds OldestPendingAge(monotonic_time now) const;
  std::size_t PendingCount() const { return pending_.size(); }
  /// Whether an attempt is overdue.
  bool HasOverdue(monotonic_time now) const;
  /// Slowness and failures fade within some such times without samples.
  void SetDecayTime(std::chrono::duration<double> decay_time) {
    decay_time_ = decay_time;
  }
  /// What kept this instance from asking has passed.
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
