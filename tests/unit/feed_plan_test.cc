#include "coordination/feed_plan.h"

#include <catch2/catch.hpp>

namespace papayaglade {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kWait{2500};

store_position At(std::int64_t revision) { return {3, revision}; }

feed_plan WatchingPlan() {
  feed_plan plan(kWait);
  plan.OnPage(At(100), false, "z");
  return plan;
}

}  // namespace

TEST_CASE("a list is read to its end, then watched from its first revision",
          "[feed]") {
  feed_plan plan(kWait);
  CHECK(plan.Next().is_list);
  CHECK(plan.Next().after_name.empty());
  plan.OnPage(At(100), true, "m");
  CHECK(plan.Next().is_list);
  CHECK(plan.Next().after_name == "m");
  plan.OnPage(At(107), false, "z");
  CHECK_FALSE(plan.Next().is_list);
  CHECK(plan.Next().position.revision == 100);
  CHECK(plan.Next().wait == kWait);
}

TEST_CASE("a page without new names ends the list", "[feed]") {
  feed_plan plan(kWait);
  plan.OnPage(At(100), true, "m");
  plan.OnPage(At(100), true, "m");
  CHECK_FALSE(plan.Next().is_list);
}

// Guards against a list that begins again for ever and is never complete.
TEST_CASE("an empty page ends the list, even if it announces more", "[feed]") {
  feed_plan plan(kWait);
  plan.OnPage(At(100), true, "m");
  plan.OnPage(At(100), true, "");
  CHECK_FALSE(plan.Next().is_list);
  CHECK(plan.Next().position.revision == 100);
}

TEST_CASE("a history that is gone again and again is not listed in a loop",
          "[feed]") {
  feed_plan plan = WatchingPlan();
  CHECK(plan.OnHistoryGone() == milliseconds(0));
  plan.OnPage(At(300), false, "z");
  CHECK(plan.OnHistoryGone() > milliseconds(0));
  plan.OnPage(At(300), false, "z");
  plan.OnEvents(At(301), 1);
  CHECK(plan.OnHistoryGone() == milliseconds(0));
}

TEST_CASE("the list is fetched again when the history is gone", "[feed]") {
  feed_plan plan = WatchingPlan();
  plan.OnHistoryGone();
  CHECK(plan.Next().is_list);
  plan.OnPage(At(300), false, "z");
  CHECK(plan.Next().position.revision == 300);
}

// Guards against a call that is answered for ever by what cannot be taken, and
// against lists without a pause where that goes on.
TEST_CASE(
    "an answer that cannot be taken is followed by lists at a bounded rate",
    "[feed][vain]") {
  constexpr milliseconds kLeastPause{500};
  feed_plan plan = WatchingPlan();
  const bool by_the_copy = GENERATE(false, true);
  const auto end = [&] {
    if (!by_the_copy) return plan.OnUnusable();
    plan.OnEvents(At(101), 1);
    return plan.OnNotTaken();
  };
  CHECK(end() == milliseconds(0));
  for (int i = 0; i < 3; ++i) {
    CHECK(plan.Next().is_list);
    CHECK(plan.Next().after_name.empty());
    plan.OnPage(At(300), true, "m");
    CHECK(plan.OnUnusable() >= kLeastPause);
    CHECK(plan.Next().after_name.empty());
    plan.OnPage(At(300), false, "z");
    CHECK_FALSE(plan.Next().is_list);
    CHECK(end() >= kLeastPause);
  }
  plan.OnPage(At(300), false, "z");
  plan.OnEvents(At(301), 1);
  CHECK(end() == milliseconds(0));
}

// Guards against a watch that continues from a position in the history before
// the store was restored.
TEST_CASE("a new era begins with a list", "[feed][era]") {
  feed_plan plan = WatchingPlan();
  CHECK_FALSE(plan.StartEra(3));
  CHECK_FALSE(plan.Next().is_list);
  CHECK(plan.StartEra(4));
  CHECK(plan.Next().is_list);
  // A source that has not noticed the restore.
  CHECK_FALSE(plan.SkipTo(At(700)));
  CHECK(plan.Next().is_list);
  SECTION("the list is read") {
    plan.OnPage({4, 20}, true, "m");
    plan.OnPage({4, 21}, false, "z");
    CHECK(plan.Next().position == store_position(4, 20));
  }
  SECTION("the state comes from another source") {
    CHECK(plan.SkipTo({4, 30}));
    CHECK_FALSE(plan.Next().is_list);
    CHECK(plan.Next().position == store_position(4, 30));
  }
}

// Guards against a list that hangs since the store was restored once, and is
// not given up when it is restored again.
TEST_CASE("a new era gives up a list of the one before", "[feed][era]") {
  feed_plan plan = WatchingPlan();
  CHECK(plan.StartEra(4));
  CHECK(plan.StartEra(5));
  CHECK_FALSE(plan.StartEra(5));
  CHECK(plan.Next().is_list);
}

TEST_CASE("the first era restarts nothing", "[feed][era]") {
  feed_plan plan(kWait);
  CHECK_FALSE(plan.StartEra(5));
  CHECK(plan.Next().is_list);
}

TEST_CASE("a revision never goes back", "[feed]") {
  feed_plan plan = WatchingPlan();
  plan.OnEvents(At(120), 1);
  plan.OnEvents(At(110), 1);
  CHECK(plan.Next().position.revision == 120);
}

// Guards against flooding the store with calls when hundreds of upstreams
// register within seconds and every instance watches them.
TEST_CASE("a burst of changes costs few calls", "[feed]") {
  feed_plan plan = WatchingPlan();
  std::size_t calls = 0;
  std::int64_t seen = 0;
  for (milliseconds elapsed(0); elapsed < milliseconds(8000); ++calls) {
    const std::int64_t total = elapsed.count() / 25;
    elapsed +=
        milliseconds(4) +
        plan.OnEvents(At(100 + total), static_cast<std::size_t>(total - seen));
    seen = total;
    if (total == 0) elapsed += milliseconds(50);
  }
  CHECK(calls <= 20);
}

// Guards against reading a leave too late after an outage: hundreds of entries
// have lapsed and come back, and the store returns 50 changes per answer. The
// last change, a leave, must be known well before the time after which nothing
// may be sent to that upstream.
TEST_CASE("a backlog of changes is fetched without pauses", "[feed]") {
  feed_plan plan = WatchingPlan();
  milliseconds passed(0);
  for (std::int64_t remaining = 700; remaining > 0; remaining -= 50) {
    passed += plan.OnEvents(At(800 - remaining), 50);
  }
  CHECK(passed.count() == 0);
  CHECK(plan.OnEvents(At(801), 1) > milliseconds(0));
}

// Guards against missing changes after a silent outage, in which calls never
// get an answer. A change right after the return must be seen before the
// instance counts as connected again, 4 s after the return.
TEST_CASE("the return of the store is noticed before changes are due",
          "[feed]") {
  constexpr milliseconds kReachableDelay{4000};
  for (int outage_ms = 10; outage_ms < 12000; outage_ms += 37) {
    for (int phase_ms = 0; phase_ms < 2500; phase_ms += 113) {
      feed_plan plan = WatchingPlan();
      // The watch began `phase_ms` before the outage.
      milliseconds elapsed(-phase_ms);
      const milliseconds end(outage_ms);
      bool lost = true;
      while (lost) {
        const feed_plan::call call = plan.Next();
        elapsed += call.timeout + plan.OnFailure();
        lost = elapsed < end;
      }
      INFO("outage " << outage_ms << " phase " << phase_ms);
      CHECK((elapsed + plan.Next().wait - end).count() <
            kReachableDelay.count());
    }
  }
}

}  // namespace papayaglade
