#include "coordination/watch_wait.h"

#include <catch2/catch.hpp>

#include "coordination/feed_plan.h"

namespace papayaglade {

namespace {

using std::chrono::milliseconds;

// Connection to the store, a call, and its answer.
constexpr milliseconds kCallTime{50};

// Returns the time from a change, whose answer is lost, to the answer of the
// next watch. The change comes while the store waits for a watch, or, as the
// worst case, just after the watch before it was answered.
milliseconds LongestDelay(milliseconds wait) {
  feed_plan plan(wait);
  plan.OnPage({1, 100}, false, "z");
  milliseconds elapsed = plan.OnEvents({1, 101}, 1);
  elapsed += plan.Next().timeout;
  // The feed that looks for the store goes first, the others resume after it.
  elapsed += plan.OnFailure() + kCallTime;
  return elapsed + plan.OnEvents({1, 101}, 0) + kCallTime;
}

}  // namespace

// Guards against a silent watch that hides changes for longer than allowed.
TEST_CASE("a watch ends early enough to be repeated in time", "[feed]") {
  for (const milliseconds allowed :
       {milliseconds(2000), milliseconds(3000), milliseconds(12000)}) {
    const change_delays delays{allowed, allowed, allowed};
    for (const stored_kind kind : kMirroredKinds) {
      for (const bool sharing : {false, true}) {
        CHECK(LongestDelay(WatchWait(kind, delays, sharing)) <= allowed);
      }
    }
  }
}

// Guards against a load on the store that has no limit.
TEST_CASE("no bound makes a watch shorter than half a second", "[feed]") {
  const change_delays delays{milliseconds(1), milliseconds(1), milliseconds(1)};
  for (const stored_kind kind : kMirroredKinds) {
    CHECK(WatchWait(kind, delays, true) == milliseconds(500));
  }
}

}  // namespace papayaglade
