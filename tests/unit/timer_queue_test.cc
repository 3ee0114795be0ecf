#include "coordination/timer_queue.h"

#include <catch2/catch.hpp>
#include <string>

namespace papayaglade {

namespace {

using std::chrono::milliseconds;

constexpr monotonic_time kStart{std::chrono::hours(1)};

}  // namespace

TEST_CASE("timers run once, in the order of their times", "[wake]") {
  timer_queue timers;
  std::string ran;
  timers.Schedule(kStart + milliseconds(2),
                  [&](monotonic_time) { ran += 'b'; });
  timers.Schedule(kStart + milliseconds(1),
                  [&](monotonic_time) { ran += 'a'; });
  timers.Schedule(kStart + milliseconds(9),
                  [&](monotonic_time) { ran += 'c'; });
  timers.RunDue(kStart + milliseconds(5));
  CHECK(ran == "ab");
  CHECK(timers.Next() == kStart + milliseconds(9));
  timers.RunDue(kStart + milliseconds(9));
  timers.RunDue(kStart + milliseconds(20));
  CHECK(ran == "abc");
  CHECK_FALSE(timers.Next().has_value());
}

TEST_CASE("a timer may cancel and schedule others", "[wake]") {
  timer_queue timers;
  int ran = 0;
  const auto second = timers.Schedule(kStart + milliseconds(2),
                                      [&](monotonic_time) { ran += 100; });
  timers.Schedule(kStart + milliseconds(1), [&](monotonic_time) {
    ++ran;
    timers.Cancel(second);
    timers.Schedule(kStart, [&](monotonic_time) { ++ran; });
  });
  timers.RunDue(kStart + milliseconds(3));
  CHECK(ran == 2);
  timers.Cancel(second);
  timers.Cancel(12345);
}

}  // namespace papayaglade
