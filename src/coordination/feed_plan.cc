#include "coordination/feed_plan.h"

#include <algorithm>
#include <utility>

namespace papayaglade {

using std::chrono::milliseconds;

namespace {

constexpr milliseconds kListTimeout{2000};
// Used after a failed call. An outage may leave calls without an answer for
// good, so each call is short and the return of the store is noticed soon.
constexpr milliseconds kWatchWaitAfterFailure{50};
// Lets changes that occur close together arrive in one answer.
constexpr milliseconds kWatchInterval{200};
// A burst, such as the start of all upstreams of an installation.
constexpr std::size_t kMinBurstEvents = 5;
constexpr milliseconds kBurstWatchInterval{500};
// An answer this long is only a part of the waiting changes, so the rest is
// fetched at once.
constexpr std::size_t kMinBacklogEvents = 30;
// Used if an answer cannot be taken again before any watch was answered.
constexpr milliseconds kRepeatedListDelay{500};
constexpr milliseconds kInitialBackoff{100};
constexpr milliseconds kMaxBackoff{800};

}  // namespace

feed_plan::call feed_plan::Next() const {
  call next;
  next.is_list = is_listing_;
  next.after_name = last_name_;
  next.position = position_;
  next.wait = last_call_failed_ ? kWatchWaitAfterFailure : watch_wait_;
  next.timeout = is_listing_ ? kListTimeout : next.wait + kWatchTimeoutMargin;
  return next;
}

milliseconds feed_plan::OnPage(const store_position& position, bool more,
                               const std::string& last_name) {
  last_call_failed_ = false;
  backoff_ = milliseconds(0);
  // Keeps the position of the first page: changes made while the other pages
  // are fetched arrive again with the watch.
  if (last_name_.empty()) position_ = position;
  relisted_before_ = relisted_;
  // The next page would repeat this one or the first.
  const bool advanced = !last_name.empty() && last_name != last_name_;
  is_listing_ = more && advanced;
  last_name_ = is_listing_ ? last_name : "";
  return milliseconds(0);
}

milliseconds feed_plan::OnEvents(const store_position& position,
                                 std::size_t count) {
  relisted_before_ = std::exchange(relisted_, false);
  last_call_failed_ = false;
  backoff_ = milliseconds(0);
  position_ = std::max(position_, position);
  if (count >= kMinBacklogEvents) return milliseconds(0);
  if (count >= kMinBurstEvents) return kBurstWatchInterval;
  return count > 0 ? kWatchInterval : milliseconds(0);
}

milliseconds feed_plan::OnHistoryGone() {
  last_call_failed_ = false;
  backoff_ = milliseconds(0);
  return OnUnusable();
}

milliseconds feed_plan::OnUnusable() {
  is_listing_ = true;
  last_name_.clear();
  const bool repeated = std::exchange(relisted_, true);
  return repeated ? kRepeatedListDelay : milliseconds(0);
}

milliseconds feed_plan::OnNotTaken() {
  relisted_ = relisted_before_;
  return OnUnusable();
}

bool feed_plan::SkipTo(const store_position& position) {
  if (position <= position_) return false;
  is_listing_ = false;
  last_name_.clear();
  position_ = position;
  return true;
}

// The next position of the feed must be of the new era, or later.
bool feed_plan::StartEra(std::int64_t era) {
  if (position_.era >= era) return false;
  const bool had_asked = position_.era != kNoEra || position_.revision > 0;
  position_ = {era, 0};
  is_listing_ = true;
  last_name_.clear();
  return had_asked;
}

milliseconds feed_plan::OnFailure() {
  last_call_failed_ = true;
  backoff_ = std::clamp(2 * backoff_, kInitialBackoff, kMaxBackoff);
  return backoff_;
}

}  // namespace papayaglade
