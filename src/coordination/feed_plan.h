#ifndef PAPAYAGLADE_COORDINATION_FEED_PLAN_H_
#define PAPAYAGLADE_COORDINATION_FEED_PLAN_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

#include "state/store_position.h"

namespace papayaglade {

/// Decides which call to the store a feed makes next, how long it waits for the
/// answer, and how soon it calls again.
class feed_plan {
 public:
  /// Time beyond the wait of a watch after which it is given up.
  static constexpr std::chrono::milliseconds kWatchTimeoutMargin{700};

  struct call {
    /// True for a list call, false for a watch.
    bool is_list = true;
    /// The last name that a list received; empty for the first page.
    std::string after_name;
    /// The position from which a watch starts.
    store_position position;
    /// The time for which the store may hold a watch open.
    std::chrono::milliseconds wait{0};
    /// Time after which the call is given up.
    std::chrono::milliseconds timeout{0};
  };

  /// `wait` is how long the store may hold a watch as long as calls succeed.
  explicit feed_plan(std::chrono::milliseconds wait) : watch_wait_(wait) {}

  /// Returns the next call.
  call Next() const;

  /// These handle the end of a call and return the delay until the next one.
  std::chrono::milliseconds OnPage(const store_position& position, bool more,
                                   const std::string& last_name);
  std::chrono::milliseconds OnEvents(const store_position& position,
                                     std::size_t count);
  std::chrono::milliseconds OnHistoryGone();
  std::chrono::milliseconds OnFailure();
  /// Handles an answer that cannot be taken: the same call might be answered
  /// alike for ever, so the next one lists from the first page.
  std::chrono::milliseconds OnUnusable();
  /// Does so for the page that was handled last, which turned out to be of no
  /// use.
  std::chrono::milliseconds OnNotTaken();

  /// Continues with watches from `position`, because the state as of then came
  /// from another source. Returns false if the position is not a later one.
  bool SkipTo(const store_position& position);

  /// Begins with a list if the position is of an era before `era`, to which no
  /// watch can be continued. Returns whether a call that is pending may have
  /// been made in another era.
  bool StartEra(std::int64_t era);

  /// Makes the next call a list.
  void ListAgain() { is_listing_ = true; }

  bool IsListing() const { return is_listing_; }
  /// Returns whether the last call failed.
  bool LastCallFailed() const { return last_call_failed_; }
  const store_position& Position() const { return position_; }

 private:
  std::chrono::milliseconds watch_wait_;
  std::string last_name_;
  store_position position_;
  bool is_listing_ = true;
  bool last_call_failed_ = false;
  /// A list was begun for an answer that cannot be taken, and no watch has been
  /// answered since.
  bool relisted_ = false;
  /// The same, before the answer that was handled last.
  bool relisted_before_ = false;
  std::chrono::milliseconds backoff_{0};
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_COORDINATION_FEED_PLAN_H_
