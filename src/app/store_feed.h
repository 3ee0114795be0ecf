#ifndef PAPAYAGLADE_APP_STORE_FEED_H_
#define PAPAYAGLADE_APP_STORE_FEED_H_

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "app/structured_log.h"
#include "app/unused_answers.h"
#include "coordination/feed_plan.h"
#include "coordination/store_era.h"
#include "protocol/store_format.h"
#include "transport/http_exchange_channel.h"

namespace papayaglade {

/// Follows all objects of one kind in the store: lists them, then watches for
/// changes from the position of the list. Lists again when the store no longer
/// has the history since that position, or when an answer cannot be taken.
class store_feed {
 public:
  /// What an answer says about the age of its content.
  struct answer_time {
    /// The page holds all changes up to this time.
    monotonic_time confirmed_at;
    /// The store had no change to tell for most of the call, so that those of
    /// the page have only just been made.
    bool was_held = false;
  };
  enum class answer_kind {
    kCurrent,  ///< Of the known era, whether it is used or not.
    kFailure,  ///< It counts as a failed call, but the store is there.
  };
  struct handlers {
    /// Receives all objects as of the position of the page. Returns false if
    /// the page cannot be taken.
    std::function<bool(const store_page&, const answer_time&)> on_list;
    /// Receives the changes after `from`, up to the position of the page.
    /// Returns false if the page cannot be taken.
    std::function<bool(const store_position& from, const store_page&,
                       const answer_time&)>
        on_events;
    /// Called after each failed call, the first one after an answer or a
    /// further one; may be empty.
    std::function<void(bool first)> on_lost;
    /// Called after each answer of the store; may be empty.
    std::function<void(answer_kind)> on_answer;
    /// Called when the store does not serve a call on a new connection; may be
    /// empty. An open connection may also fail for a reason of its own.
    std::function<void()> on_unavailable;
    /// Called when an answer up to `arrived` is not used; may be empty.
    std::function<void(unused_reason why, const store_position& arrived)>
        on_unused;
  };

  /// `wait` is how long the store may hold a watch that has no changes.
  store_feed(loop_context& loop, const store_format& format,
             structured_log& log, store_era& era, endpoint store,
             stored_kind kind, std::chrono::milliseconds wait,
             handlers handlers);

  /// Starts or stops making calls. A feed is inactive at first.
  void SetActive(bool active);

  /// Continues from `position`, because the state as of then came from another
  /// source.
  void SkipTo(const store_position& position);

  /// Lists again if what was read is of an era before the known one. A call
  /// that is pending is given up.
  void StartEra();

  /// Gives up a pending watch and lists instead, or makes the next call a list.
  /// Does nothing while no calls are made.
  void ListAgain();

  /// Fails a pending watch, because another feed found that the store does not
  /// answer and the watch may never be answered.
  void FailPendingWatch();

  /// Makes this feed wait for Resume after a failure instead of retrying by
  /// itself. One feed that retries is enough to detect that the store answers
  /// again.
  void SetResumeRequired() { resume_required_ = true; }
  /// Schedules the call that was deferred after a failure, if any.
  void Resume();

  /// Returns whether the last call failed.
  bool Lost() const { return plan_.LastCallFailed(); }
  std::uint64_t CallCount() const { return calls_; }
  /// Returns the number of entries received without a usable name.
  std::uint64_t UnnamedCount() const { return unnamed_; }
  /// Returns when the store last answered, or the epoch of the clock before the
  /// first answer.
  monotonic_time LastAnswer() const { return last_answer_; }

 private:
  void Call();
  void OnResult(const feed_plan::call& completed,
                const http_exchange_channel::result& result);
  /// Handles an answer of the known era, or one that names none.
  void OnAnswer(const feed_plan::call& completed,
                const upstream_message& answer);
  void OnHistoryGone();
  /// Gives up a pending call and makes the next one now.
  void Recall();
  void OnList(const std::string& body);
  void OnEvents(const feed_plan::call& completed, const std::string& body);
  /// Counts and logs the entries of `page` that have no usable name.
  void CountUnnamed(const store_page& page);
  enum class failure_origin {
    kStore,    ///< The store does not serve calls.
    kUnclear,  ///< It may be only this connection, or this answer.
  };
  /// Returns the origin of a call's end without an answer.
  failure_origin OriginOfSilence() const;
  /// Handles a call's end without a complete answer.
  void OnNoAnswer(const feed_plan::call& completed,
                  const http_exchange_channel::result& result);
  void OnRefused(int status);
  enum class next_call {
    kSame,  ///< The call may succeed when it is made again.
    kList,  ///< Its answer cannot be taken.
  };
  void HandleFailure(const char* why, failure_origin origin, next_call next);
  /// Handles an answer of the known era that cannot be taken.
  void HandleUnusable(unused_reason why, const store_position& arrived);
  /// Handles an answer up to an unknown position that cannot be taken and shows
  /// that this call fails.
  void HandleUnusableFailure(unused_reason why, const char* failure);
  /// Reports an answer that is not used.
  void ReportUnused(unused_reason why, const store_position& arrived) const;
  answer_time TimeOf(const feed_plan::call& completed) const;
  void ScheduleCall(std::chrono::milliseconds delay);
  /// Notes that no call is pending any more.
  void EndCall();
  void RecordAnswer();

  loop_context& loop_;
  const store_format& format_;
  structured_log& log_;
  store_era& era_;
  endpoint store_;
  stored_kind kind_;
  handlers handlers_;
  feed_plan plan_;
  std::shared_ptr<http_exchange_channel> channel_;
  /// Objects of a list that is still being read.
  std::vector<stored_object> listed_objects_;
  bool active_ = false;
  bool idle_ = true;  ///< No call is pending or scheduled.
  /// A complete list was read, or SkipTo was called.
  bool listed_ = false;
  bool resume_required_ = false;
  /// Delay of the next call after Resume; empty if none is deferred.
  std::optional<std::chrono::milliseconds> deferred_delay_;
  std::uint64_t calls_ = 0;
  std::uint64_t unnamed_ = 0;
  monotonic_time call_start_;
  /// The pending call is the first one on its connection.
  bool on_new_connection_ = false;
  /// Start of the call whose answer began the list that is being read.
  monotonic_time list_start_;
  monotonic_time last_answer_;
  /// Number of the pending call, or 0 if there is none.
  std::uint64_t pending_call_ = 0;
  std::optional<timer_queue::id> timeout_;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_APP_STORE_FEED_H_
