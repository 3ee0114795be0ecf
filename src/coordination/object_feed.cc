#include "coordination/object_feed.h"

#include <utility>

namespace papayaglade {

namespace {

using std::chrono::milliseconds;

// A dead connection shows only when the answer to a watch is overdue, so this
// wait plus the timeout of the call bounds the delay of a change.
constexpr milliseconds kWatchWait{2500};
// An answer without a change that arrives sooner is not from a watch that the
// platform held.
constexpr milliseconds kMinEmptyWatch{1000};
constexpr milliseconds kInitialBackoff{200};
constexpr milliseconds kMaxBackoff{3000};
// A full list at this mean interval fetches changes that were missed otherwise.
constexpr milliseconds kFullListInterval{120000};

}  // namespace

object_feed::object_feed(std::string kind, std::uint64_t seed)
    : kind_(std::move(kind)),
      random_(seed),
      backoff_(kInitialBackoff, kMaxBackoff) {}

void object_feed::SetWatching(bool watching) {
  if (watching && !watching_) next_call_at_ = monotonic_time{};
  watching_ = watching;
}

std::optional<platform_operation> object_feed::Next(monotonic_time now) {
  if (call_pending_ || now < next_call_at_) return std::nullopt;
  last_call_was_watch_ =
      watching_ && revision_.has_value() && now < next_list_at_;
  call_pending_ = true;
  called_at_ = now;
  if (last_call_was_watch_)
    return platform_watch{kind_, *revision_, kWatchWait};
  return platform_list{kind_};
}

void object_feed::OnReply(const platform_reply& reply, monotonic_time now) {
  call_pending_ = false;
  if (reply.status != platform_status::kOk) return OnFailure(now);
  // A platform restored from a backup continues from a lower revision. A watch
  // after the old revision would miss all changes up to it.
  const bool revision_decreased = last_call_was_watch_ &&
                                  revision_.has_value() &&
                                  reply.revision < *revision_;
  if (revision_decreased) return OnFailure(now);
  OnObjects(reply, now);
}

void object_feed::OnObjects(const platform_reply& reply, monotonic_time now) {
  revision_ = reply.revision;
  const milliseconds list_delay =
      kFullListInterval / 2 +
      milliseconds(random_() % kFullListInterval.count());
  if (!last_call_was_watch_) next_list_at_ = now + list_delay;
  const bool idle = last_call_was_watch_ && reply.objects.empty() &&
                    now - called_at_ < kMinEmptyWatch;
  if (idle) {
    next_call_at_ = now + backoff_.Next(random_);
    return;
  }
  // Keeps the backoff for a platform that serves lists but no watches.
  if (last_call_was_watch_ || !watching_) backoff_.Reset();
  next_call_at_ = watching_ ? now : next_list_at_;
}

// The next call is a list, which fetches everything that was missed.
void object_feed::OnFailure(monotonic_time now) {
  revision_.reset();
  next_call_at_ = now + backoff_.Next(random_);
}

}  // namespace papayaglade
