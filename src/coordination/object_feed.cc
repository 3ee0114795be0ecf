#include "coordination/object_feed.h"

#include <utility>

namespace papayaglade {

namespace {

using std::chrono::milliseconds;

// A silent connection shows only when a watch's answer is overdue, so this
// and the call's timeout bound how late a change can come.
constexpr milliseconds kWatchWait{2500};
// An answer without a change that comes sooner is not a watch's.
constexpr milliseconds kShortestEmptyWatch{1000};
constexpr milliseconds kFirstWait{200};
constexpr milliseconds kLongestWait{3000};
// What all else failed to bring comes by this.
constexpr milliseconds kSafetyPeriod{120000};

}  // namespace

object_feed::object_feed(std::string kind, std::uint64_t seed)
    : kind_(std::move(kind)), random_(seed), wait_(kFirstWait, kLongestWait) {}

void object_feed::SetWatching(bool watching) {
  if (watching && !watching_) due_ = monotonic_time{};
  watching_ = watching;
}

std::optional<platform_operation> object_feed::Next(monotonic_time now) {
  if (waiting_ || now < due_) return std::nullopt;
  last_watched_ = watching_ && revision_.has_value() && now < next_list_;
  waiting_ = true;
  asked_ = now;
  if (last_watched_) return platform_watch{kind_, *revision_, kWatchWait};
  return platform_list{kind_};
}

void object_feed::OnReply(const platform_reply& reply, monotonic_time now) {
  waiting_ = false;
  if (reply.status != platform_status::kOk) return OnFailure(now);
  // A platform restored from a backup counts from a lower revision; a watch
  // after the old one would miss all changes up to it.
  const bool stepped_back =
      last_watched_ && revision_.has_value() && reply.revision < *revision_;
  if (stepped_back) return OnFailure(now);
  OnRead(reply, now);
}

void object_feed::OnRead(const platform_reply& reply, monotonic_time now) {
  revision_ = reply.revision;
  const milliseconds safety =
      kSafetyPeriod / 2 + milliseconds(random_() % kSafetyPeriod.count());
  if (!last_watched_) next_list_ = now + safety;
  const bool idle = last_watched_ && reply.objects.empty() &&
                    now - asked_ < kShortestEmptyWatch;
  if (idle) {
    due_ = now + wait_.Next(random_);
    return;
  }
  // A platform that serves lists but no watches is still backed off from.
  if (last_watched_ || !watching_) wait_.Reset();
  due_ = watching_ ? now : next_list_;
}

// Whatever was missed meanwhile comes with the list that follows.
void object_feed::OnFailure(monotonic_time now) {
  revision_.reset();
  due_ = now + wait_.Next(random_);
}

}  // namespace papayaglade
