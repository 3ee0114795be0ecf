#ifndef PAPAYAGLADE_COORDINATION_HEALTH_SCHEDULE_H_
#define PAPAYAGLADE_COORDINATION_HEALTH_SCHEDULE_H_

#include <chrono>

#include "state/time.h"

namespace papayaglade {

/// Schedules the health checks of an upstream and decides when unanswered
/// checks mean that it is silent.
class health_schedule {
 public:
  health_schedule(std::chrono::milliseconds period,
                  std::chrono::milliseconds max_interval);

  bool IsDue(monotonic_time now) const { return now >= next_check_at_; }
  void ScheduleAt(monotonic_time when) { next_check_at_ = when; }
  void OnSent(monotonic_time now) { next_check_at_ = now + period_; }

  /// Records any reply of the upstream.
  void OnReply(monotonic_time now);
  monotonic_time LastReply() const { return last_reply_; }

  /// Records that a check or a connection attempt had no answer. Returns
  /// whether the upstream now counts as silent; the interval to the next probe
  /// then grows each time.
  bool OnUnanswered(monotonic_time now);

 private:
  std::chrono::milliseconds period_;
  std::chrono::milliseconds max_interval_;
  std::chrono::milliseconds probe_interval_;
  monotonic_time next_check_at_{};
  monotonic_time last_reply_{};
  int unanswered_ = 0;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_COORDINATION_HEALTH_SCHEDULE_H_
