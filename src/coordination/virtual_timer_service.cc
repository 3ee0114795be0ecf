#include "coordination/virtual_timer_service.h"

#include <algorithm>
#include <utility>

namespace papayaglade {

timer_service::subscription virtual_timer_service::Subscribe(
    std::chrono::milliseconds period, tick_handler handler) {
  const subscription id = ++last_id_;
  entries_[id] = entry{period, now_ + period, std::move(handler)};
  return id;
}

void virtual_timer_service::Cancel(subscription id) { entries_.erase(id); }

void virtual_timer_service::Advance(std::chrono::microseconds by) {
  const monotonic_time end = now_ + by;
  while (true) {
    const auto due = std::min_element(entries_.begin(), entries_.end(),
                                      [](const auto& a, const auto& b) {
                                        return a.second.next < b.second.next;
                                      });
    if (due == entries_.end() || due->second.next > end) break;
    now_ = due->second.next;
    due->second.next += due->second.period;
    // The handler may cancel its own subscription, so a copy is called.
    const tick_handler handler = due->second.handler;
    handler(now_);
  }
  now_ = end;
}

}  // namespace papayaglade
