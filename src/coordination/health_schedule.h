#ifndef PAPAYAGLADE_COORDINATION_HEALTH_SCHEDULE_H_
#define PAPAYAGLADE_COORDINATION_HEALTH_SCHEDULE_H_

#include <chrono>

#include "state/time.h"

namespace papayaglade {

/// When to check an upstream, and when unanswered checks mean silence.
class health_schedule {
 public:
  health_schedule(std::chrono::milliseconds period,
                  std::chrono::milliseconds longest_wait);

  bool Due(monotonic_time now) const { return now >= due_; }
  void AskAt(monotonic_time when) { due_ = when; }
  void OnSent(monotonic_time now) { due_ = now + period_; }

  /// Any reply of the upstream.
  void OnReply(monotonic_time now);
  monotonic_time LastReply() const { return last_reply_; }

  /// A check or an opening had no answer; returns whether the upstream is
  /// silent now, and then waits longer from one probe to the next.
  bool OnUnanswered(monotonic_time now);

 private:
  std::chrono::milliseconds period_;
  std::chrono::milliseconds longest_wait_;
  std::chrono::milliseconds wait_;
  monotonic_time due_{};
  monotonic_time last_reply_{};
  int unanswered_ = 0;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_COORDINATION_HEALTH_SCHEDULE_H_
