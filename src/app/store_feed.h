#ifndef PAPAYAGLADE_APP_STORE_FEED_H_
#define PAPAYAGLADE_APP_STORE_FEED_H_

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "app/decision_log.h"
#include "coordination/feed_plan.h"
#include "protocol/store_format.h"
#include "transport/http_exchange_channel.h"

namespace papayaglade {

/// Follows all objects of one kind: a list, then watches from its revision;
/// a new list when the store no longer has the history.
class store_feed {
 public:
  struct handlers {
    /// All objects as of the revision of the page.
    std::function<void(const store_page&)> on_list;
    /// What changed after the revision `from`, up to that of the page.
    std::function<void(std::int64_t from, const store_page&)> on_events;
    /// The store does not answer; may be empty.
    std::function<void()> on_lost;
    /// It answered; may be empty.
    std::function<void()> on_answer;
  };

  /// `wait` is how long the store may hold a watch.
  store_feed(loop_context& loop, const store_format& format, decision_log& log,
             endpoint store, stored_kind kind, std::chrono::milliseconds wait,
             handlers handlers);

  /// While it is not active, a feed makes no further calls. It starts so.
  void SetActive(bool active);

  /// The state as of `revision` came from elsewhere.
  void SkipTo(std::int64_t revision);

  /// Another feed found that the store does not answer: a watch that waits is
  /// given up, since its answer may never come.
  void Suspect();

  /// After a failure this feed calls again only once another feed had an
  /// answer and calls Resume: one call at a time is enough to find out.
  void SetWaitsForOthers() { waits_for_others_ = true; }
  void Resume();

  /// Whether the last call failed.
  bool Lost() const { return plan_.LastCallFailed(); }
  std::uint64_t Calls() const { return calls_; }
  /// When the store last answered; the start of time before that.
  monotonic_time LastAnswer() const { return last_answer_; }

 private:
  void Call();
  void OnResult(const feed_plan::call& made,
                const http_exchange_channel::result& result);
  void OnList(const std::string& body);
  void OnEvents(std::int64_t from, const std::string& body);
  void Failed(const char* why);
  void CallAfter(std::chrono::milliseconds delay);
  void NoteAnswer();

  loop_context& loop_;
  const store_format& format_;
  decision_log& log_;
  endpoint store_;
  stored_kind kind_;
  handlers handlers_;
  feed_plan plan_;
  std::shared_ptr<http_exchange_channel> channel_;
  std::vector<stored_object> items_;  ///< Of a list that is not complete.
  bool active_ = false;
  bool idle_ = true;  ///< No call is on, and none is planned.
  bool listed_ = false;
  bool waits_for_others_ = false;
  std::optional<std::chrono::milliseconds> parked_;  ///< Delay once resumed.
  std::uint64_t calls_ = 0;
  monotonic_time last_answer_;
  std::uint64_t awaited_ = 0;  ///< Number of the call in progress, or 0.
  std::optional<timer_queue::id> timeout_;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_APP_STORE_FEED_H_
