#include "transport/timer_thread.h"

#include <utility>

namespace papayaglade {

timer_thread::timer_thread() : thread_("timer") {}

timer_thread::~timer_thread() { Stop(); }

void timer_thread::Start() { thread_.Start(); }

void timer_thread::Stop() { thread_.Stop(); }

timer_service::subscription timer_thread::Subscribe(
    std::chrono::milliseconds period, tick_handler handler) {
  const std::lock_guard<std::recursive_mutex> lock(mutex_);
  const subscription id = ++last_id_;
  auto added = std::make_unique<entry>(
      entry{period, std::move(handler),
            boost::asio::steady_timer(thread_.Io(), Now())});
  entry& armed = *added;
  entries_[id] = std::move(added);
  ArmTimer(id, armed);
  return id;
}

void timer_thread::Cancel(subscription id) {
  const std::lock_guard<std::recursive_mutex> lock(mutex_);
  entries_.erase(id);
}

void timer_thread::ArmTimer(subscription id, entry& armed) {
  // Missed ticks are skipped, so that a process that was suspended does not
  // receive a burst of ticks when it resumes.
  armed.timer.expires_after(armed.period);
  armed.timer.async_wait([this, id](const boost::system::error_code& failed) {
    if (!failed) Fire(id);
  });
}

void timer_thread::Fire(subscription id) {
  // The lock is held while the handler runs, so that Cancel waits for the
  // handler. It is recursive because a handler may cancel its own subscription.
  const std::lock_guard<std::recursive_mutex> lock(mutex_);
  const auto found = entries_.find(id);
  if (found == entries_.end()) return;
  const tick_handler handler = found->second->handler;
  handler(Now());
  const auto remaining = entries_.find(id);
  if (remaining != entries_.end()) ArmTimer(id, *remaining->second);
}

}  // namespace papayaglade
