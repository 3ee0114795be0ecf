#include "coordination/route_durations.h"

#include <catch2/catch.hpp>

#include "coordination/shutdown_plan.h"

namespace papayaglade {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr monotonic_time kStart{std::chrono::hours(1)};
constexpr milliseconds kAllowed{5000};

void AddMany(route_durations& durations, milliseconds duration,
             monotonic_time from, int count) {
  for (int i = 0; i < count; ++i)
    durations.Add("pull", duration, from + milliseconds(10 * i));
}

std::int64_t LongestMs(const route_durations& durations, bool idempotent,
                       monotonic_time now) {
  const auto longest = durations.Longest("pull", idempotent, now);
  REQUIRE(longest.has_value());
  return longest->first.count();
}

}  // namespace

TEST_CASE("a route without enough recent requests may need all allowed time",
          "[stop]") {
  route_durations durations;
  CHECK_FALSE(durations.Longest("pull", false, kStart).has_value());
  CHECK_FALSE(durations.Longest("pull", true, kStart).has_value());
  AddMany(durations, milliseconds(20), kStart, 3);
  CHECK_FALSE(durations.Longest("pull", false, kStart).has_value());
  CHECK(LongestMs(durations, true, kStart) == 20);
  CHECK(TimeNeeded(std::nullopt, true, kAllowed) == kAllowed);
  AddMany(durations, milliseconds(20), kStart, 30);
  CHECK(LongestMs(durations, false, kStart) == 20);
  CHECK_FALSE(durations.Longest("book", true, kStart).has_value());
}

// Guards against a stop that takes requests by their usual duration although
// upstreams are slow at present.
TEST_CASE("one slow request counts until it is a minute old", "[stop]") {
  route_durations durations;
  AddMany(durations, milliseconds(20), kStart, 100);
  durations.Add("pull", milliseconds(1300), kStart + seconds(1));
  for (int second = 1; second <= 120; ++second) {
    const monotonic_time now = kStart + seconds(second);
    AddMany(durations, milliseconds(20), now, 5);
    const std::int64_t longest = LongestMs(durations, false, now);
    if (second <= 45) CHECK(longest == 1300);
    if (second > 61) CHECK(longest == 20);
  }
}

TEST_CASE("requests of the distant past say nothing about the next one",
          "[stop]") {
  route_durations durations;
  AddMany(durations, milliseconds(20), kStart, 100);
  CHECK_FALSE(
      durations.Longest("pull", true, kStart + seconds(120)).has_value());
}

// Guards against cutting off a request that must not be repeated, because it
// took a little longer than those before it.
TEST_CASE(
    "a request that must not be repeated gets more room, but never more "
    "than it is allowed",
    "[stop]") {
  const longest_durations longest{milliseconds(1000), milliseconds(1000)};
  const milliseconds idempotent = TimeNeeded(longest, true, kAllowed);
  const milliseconds once = TimeNeeded(longest, false, kAllowed);
  CHECK(once > idempotent);
  CHECK(idempotent > longest.first);
  CHECK(TimeNeeded(longest, true, milliseconds(700)) == milliseconds(700));
  CHECK(TimeNeeded(longest, false, milliseconds(700)) == milliseconds(700));
  CHECK(TimeNeeded(longest_durations(), true, kAllowed) > milliseconds(0));
}

// Guards against a stop that refuses a route from its first moment because one
// of its requests was slow within the last minute.
TEST_CASE("one slow request of many does not close a route at once", "[stop]") {
  route_durations durations;
  AddMany(durations, milliseconds(20), kStart, 1000);
  durations.Add("pull", milliseconds(1850), kStart);
  const shutdown_plan plan(kStart, milliseconds(6000));
  const milliseconds needed =
      TimeNeeded(durations.Longest("pull", false, kStart), false, seconds(20));
  CHECK(plan.MayTake(needed, kStart + milliseconds(100)));
  CHECK(plan.MayTake(needed, kStart + seconds(2)));
}

// Guards against taking requests late in a stop although several like them
// were slow: the next one may be slower still.
TEST_CASE("several slow requests close a route earlier than a single one",
          "[stop]") {
  route_durations durations;
  AddMany(durations, milliseconds(20), kStart, 1000);
  const auto needed = [&] {
    return TimeNeeded(durations.Longest("pull", false, kStart), false,
                      seconds(20));
  };
  durations.Add("pull", milliseconds(1850), kStart);
  CHECK(needed() == milliseconds(2775));
  durations.Add("pull", milliseconds(1700), kStart - seconds(20));
  CHECK(needed() == milliseconds(3400));
}

}  // namespace papayaglade
