#include "coordination/stall_monitor.h"

#include <catch2/catch.hpp>

namespace papayaglade {

namespace {

using std::chrono::milliseconds;

constexpr monotonic_time kStart{std::chrono::hours(1)};
constexpr milliseconds kInterval{100};

}  // namespace

// Guards against a stop that counts its time from when a stalled loop handles
// the signal, and so plans to answer after the process is killed.
TEST_CASE("an event after a stall may have happened before it", "[stop]") {
  stall_monitor monitor(kInterval, kStart);
  monitor.OnTimer(kStart + milliseconds(100));
  const monotonic_time woken = kStart + milliseconds(900);
  SECTION("the event is handled first") {
    CHECK(monitor.EarliestTime(woken) == kStart + milliseconds(100));
  }
  SECTION("the timer runs first") {
    monitor.OnTimer(woken);
    CHECK(monitor.EarliestTime(woken + milliseconds(1)) ==
          kStart + milliseconds(100));
  }
  SECTION("an event of a later turn is new") {
    monitor.OnTimer(woken);
    const monotonic_time later = woken + milliseconds(40);
    CHECK(monitor.EarliestTime(later) == later);
  }
}

TEST_CASE("an event in a loop that runs on time is new", "[stop]") {
  stall_monitor monitor(kInterval, kStart);
  for (int ms = 102; ms < 1000; ms += 103) {
    monitor.OnTimer(kStart + milliseconds(ms));
    for (const int after : {0, 1, 50, 102}) {
      const monotonic_time now = kStart + milliseconds(ms + after);
      CHECK(monitor.EarliestTime(now) == now);
    }
  }
}

}  // namespace papayaglade
