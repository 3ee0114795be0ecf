#include "coordination/timer_queue.h"

namespace papayaglade {

timer_queue::id timer_queue::Schedule(monotonic_time when, handler handler) {
  const id timer = ++last_id_;
  timers_.emplace(key{when, timer}, std::move(handler));
  times_by_id_.emplace(timer, when);
  return timer;
}

void timer_queue::Cancel(id timer) {
  const auto found = times_by_id_.find(timer);
  if (found == times_by_id_.end()) return;
  timers_.erase(key{found->second, timer});
  times_by_id_.erase(found);
}

std::optional<monotonic_time> timer_queue::Next() const {
  if (timers_.empty()) return std::nullopt;
  return timers_.begin()->first.first;
}

void timer_queue::RunDue(monotonic_time now) {
  while (!timers_.empty() && timers_.begin()->first.first <= now) {
    const auto first = timers_.begin();
    const handler expired = std::move(first->second);
    times_by_id_.erase(first->first.second);
    timers_.erase(first);
    expired(now);
  }
}

}  // namespace papayaglade
