#include "coordination/feed_plan.h"

#include <algorithm>

namespace papayaglade {

using std::chrono::milliseconds;

namespace {

constexpr milliseconds kListTimeout{2000};
constexpr milliseconds kWatchSlack{700};
// While the store is lost: an outage may swallow calls for good, so each is
// short, and the store's return is noticed soon.
constexpr milliseconds kLostWait{50};
// Changes that come together are fetched together.
constexpr milliseconds kBetweenWatches{200};
// As when all upstreams of an installation start.
constexpr std::size_t kManyEvents = 5;
constexpr milliseconds kBetweenManyEvents{500};
// The store answers with a part of what is waiting: more is there already.
constexpr std::size_t kBacklogEvents = 30;
constexpr milliseconds kFirstBackoff{100};
constexpr milliseconds kLongestBackoff{800};

}  // namespace

feed_plan::call feed_plan::Next() const {
  call next;
  next.list = listing_;
  next.after = after_;
  next.revision = revision_;
  next.wait = lost_ ? kLostWait : wait_;
  next.timeout = listing_ ? kListTimeout : next.wait + kWatchSlack;
  return next;
}

milliseconds feed_plan::OnPage(std::int64_t revision, bool more,
                               const std::string& last_name) {
  lost_ = false;
  backoff_ = milliseconds(0);
  // The revision of the first page: what changes while the others are fetched
  // comes again by the watch.
  if (after_.empty()) revision_ = revision;
  listing_ = more && last_name != after_;
  after_ = listing_ ? last_name : "";
  return milliseconds(0);
}

milliseconds feed_plan::OnEvents(std::int64_t revision, std::size_t count) {
  lost_ = false;
  backoff_ = milliseconds(0);
  revision_ = std::max(revision_, revision);
  if (count >= kBacklogEvents) return milliseconds(0);
  if (count >= kManyEvents) return kBetweenManyEvents;
  return count > 0 ? kBetweenWatches : milliseconds(0);
}

milliseconds feed_plan::OnHistoryGone() {
  lost_ = false;
  backoff_ = milliseconds(0);
  listing_ = true;
  after_.clear();
  return milliseconds(0);
}

void feed_plan::SkipTo(std::int64_t revision) {
  listing_ = false;
  after_.clear();
  revision_ = std::max(revision_, revision);
}

milliseconds feed_plan::OnFailure() {
  lost_ = true;
  backoff_ = std::clamp(2 * backoff_, kFirstBackoff, kLongestBackoff);
  return backoff_;
}

}  // namespace papayaglade
