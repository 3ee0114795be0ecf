#include "coordination/shutdown_plan.h"

#include <catch2/catch.hpp>

namespace papayaglade {

namespace {

using std::chrono::milliseconds;

constexpr monotonic_time kStart{std::chrono::hours(1)};

}  // namespace

// Guards against a stop that takes a request which it cannot answer before the
// process ends.
TEST_CASE("a request that is taken ends before the process does", "[stop]") {
  for (const milliseconds bound :
       {milliseconds(6000), milliseconds(1000), milliseconds(30000)}) {
    const shutdown_plan plan(kStart, bound);
    bool all_taken = true;
    for (milliseconds passed(0); passed <= bound; passed += bound / 50) {
      const monotonic_time now = kStart + passed;
      const bool taken = plan.MayTake(bound / 4, now);
      if (taken) CHECK(now + bound / 4 < plan.ForcedEnd());
      // Later requests have less time.
      CHECK((all_taken || !taken));
      all_taken = all_taken && taken;
    }
    CHECK_FALSE(all_taken);
    CHECK(plan.MayTake(bound / 4, kStart));
  }
}

TEST_CASE("a stop without time takes no request that needs some", "[stop]") {
  const shutdown_plan plan(kStart, milliseconds(0));
  CHECK_FALSE(plan.MayTake(milliseconds(1), kStart));
}

TEST_CASE(
    "a request of 1.3 s that comes 4.4 s after the start of a stop of 6 s "
    "is not taken",
    "[stop]") {
  const shutdown_plan plan(kStart, milliseconds(6000));
  CHECK(plan.MayTake(milliseconds(1300), kStart + milliseconds(3000)));
  CHECK_FALSE(plan.MayTake(milliseconds(1300), kStart + milliseconds(4400)));
}

TEST_CASE("the phases of a stop follow each other within its bound", "[stop]") {
  for (const milliseconds bound :
       {milliseconds(6000), milliseconds(100), milliseconds(60000)}) {
    const shutdown_plan plan(kStart, bound);
    CHECK(plan.Start() < plan.BalancerNoticed());
    CHECK(plan.BalancerNoticed() < plan.ClosePort());
    CHECK(plan.ClosePort() < plan.CloseIdle());
    CHECK(plan.CloseIdle() < plan.AnswerBy());
    CHECK(plan.AnswerBy() < plan.ForcedEnd());
    CHECK(plan.ForcedEnd() < kStart + bound);
  }
}

// Guards against a bound so small that the answers have no time to be written:
// the shutdown is checked at intervals of 50 ms.
TEST_CASE("answers have time to be written whatever the bound", "[stop]") {
  for (const int bound : {1000, 1500, 6000}) {
    CAPTURE(bound);
    const shutdown_plan plan(kStart, milliseconds(bound));
    CHECK(plan.ForcedEnd() - plan.AnswerBy() >= milliseconds(50));
  }
}

}  // namespace papayaglade
