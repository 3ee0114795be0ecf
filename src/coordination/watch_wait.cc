#include "coordination/watch_wait.h"

#include <algorithm>

#include "coordination/feed_plan.h"

namespace papayaglade {

namespace {

using std::chrono::milliseconds;

// Covers the delay after a failed call, the two calls that follow, and the
// pause before a watch that comes after another change.
constexpr milliseconds kRepeatTime{500};
constexpr milliseconds kMinWatchWait{500};
// Followers depend on this watch and have to learn in time that the store no
// longer answers.
constexpr milliseconds kSharedWatchWait{1300};

}  // namespace

milliseconds AllowedDelay(stored_kind kind, const change_delays& delays) {
  switch (kind) {
    case stored_kind::kConfiguration:
      return delays.configuration;
    case stored_kind::kUpstreams:
      return delays.leaving_upstream;
    case stored_kind::kClosedDataCentres:
    case stored_kind::kInstances:
      break;
  }
  return delays.closed_data_centre;
}

milliseconds WatchWait(stored_kind kind, const change_delays& delays,
                       bool sharing) {
  const milliseconds wait =
      AllowedDelay(kind, delays) - feed_plan::kWatchTimeoutMargin - kRepeatTime;
  const bool shared = sharing && kind == stored_kind::kClosedDataCentres;
  return std::max(shared ? std::min(wait, kSharedWatchWait) : wait,
                  kMinWatchWait);
}

}  // namespace papayaglade
