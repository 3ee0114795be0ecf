#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "coordination/upstream_directory.h"
#include "mirrored_instance.h"

namespace papayaglade {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr monotonic_time kStart{std::chrono::hours(1)};
const std::string kService = "desk";

upstream_record MakeRecord(const std::string& id, bool leaving = false) {
  upstream_record record;
  record.id = id;
  record.service = kService;
  record.data_centre = "kigali";
  record.slots = 3;
  record.leaving = leaving;
  return record;
}

/// The directory of an instance that knows two upstreams, "a" and "b".
struct desk {
  desk() : directory("kigali", shutdown_timeouts(), warmup_limits()) {
    directory.Update(MakeRecord("a"), kStart);
    directory.Update(MakeRecord("b"), kStart);
    directory.ConfirmList(kStart);
  }

  /// Returns whether "a" is asked where "b" cannot be.
  bool IsAskedAlone(monotonic_time now) {
    const std::vector<std::string> others = {"b"};
    const auto chosen =
        directory.Choose({&kService, &others, milliseconds(50)}, now);
    return chosen != nullptr && chosen->record.id == "a";
  }

  upstream_directory directory;
};

/// The ways in which an instance learns that an upstream leaves.
enum class news { kDraining, kRemoved, kAnnounced };

void Learn(desk& tier, news what, monotonic_time now) {
  switch (what) {
    case news::kDraining:
      tier.directory.Update(MakeRecord("a", true), now);
      return;
    case news::kRemoved:
      return tier.directory.Remove("a", now);
    case news::kAnnounced: {
      upstream_notice notice;
      notice.leaving = true;
      tier.directory.ApplyNotice(*tier.directory.All().at("a"), notice, now);
      return;
    }
  }
}

void RunFor(loop_context& loop, milliseconds time) {
  const monotonic_time end = loop_context::Now() + time;
  RunUntil(loop, [&] { return loop_context::Now() >= end; });
}

}  // namespace

// Guards against requests to an upstream that has left: this instance learnt
// late of its leaving, as its watch had gone silent, and began its drain time
// only then.
TEST_CASE("the drain time begins when the list was confirmed last",
          "[directory][leaving]") {
  const news what = GENERATE(news::kDraining, news::kRemoved, news::kAnnounced);
  CAPTURE(what);
  desk tier;
  const milliseconds drain_time = tier.directory.DrainTime();
  SECTION("learnt at once") {
    Learn(tier, what, kStart);
    CHECK(tier.IsAskedAlone(kStart + drain_time - milliseconds(1)));
    CHECK_FALSE(tier.IsAskedAlone(kStart + drain_time));
  }
  SECTION("learnt late") {
    Learn(tier, what, kStart + seconds(1));
    tier.directory.ConfirmList(kStart + seconds(1));
    CHECK(tier.IsAskedAlone(kStart + drain_time - milliseconds(1)));
    CHECK_FALSE(tier.IsAskedAlone(kStart + drain_time));
  }
  SECTION("learnt after the drain time") {
    Learn(tier, what, kStart + drain_time + milliseconds(500));
    CHECK_FALSE(tier.IsAskedAlone(kStart + drain_time + milliseconds(500)));
  }
}

TEST_CASE("without a confirmed list, a leaving upstream is not asked",
          "[directory][leaving]") {
  upstream_directory directory("kigali", shutdown_timeouts(), warmup_limits());
  directory.Update(MakeRecord("a"), kStart);
  directory.Update(MakeRecord("a", true), kStart);
  const std::vector<std::string> none;
  CHECK(directory.Choose({&kService, &none, milliseconds(50)}, kStart) ==
        nullptr);
}

// Guards against answers that fail after each outage of the store: entries of
// upstreams that go on serving lapse in it and are back soon after.
TEST_CASE("an entry that may have lapsed is waited for", "[leaving]") {
  desk tier;
  const monotonic_time back = kStart + seconds(30);
  tier.directory.OnStoreUnavailable(kStart + seconds(1));
  SECTION("it is gone") {
    Learn(tier, news::kRemoved, back);
    const monotonic_time end = back + tier.directory.DrainTime();
    CHECK(tier.IsAskedAlone(end - milliseconds(1)));
    CHECK_FALSE(tier.IsAskedAlone(end));
  }
  SECTION("it says that the upstream drains") {
    Learn(tier, news::kDraining, back);
    CHECK_FALSE(tier.IsAskedAlone(back));
  }
  SECTION("it is gone after the store was back") {
    tier.directory.ConfirmList(back);
    Learn(tier, news::kRemoved, back + seconds(1));
    CHECK(tier.IsAskedAlone(back + seconds(1)));
    CHECK_FALSE(tier.IsAskedAlone(back + tier.directory.DrainTime()));
  }
}

// Guards against changes that are taken for newer than they are, and, so that
// leaving upstreams can be asked for a while, for much older.
TEST_CASE("upstreams are confirmed until shortly before a change arrives",
          "[mirror][leaving]") {
  constexpr milliseconds kDelivery{150};
  // Longer than an answer takes that the store did not hold.
  constexpr milliseconds kHeld{700};
  loop_context loop;
  store_standin store(loop);
  store.Put("servers", "i-1", json::object());
  const instance_list instances = MakeInstances(loop, store.Address(), 4);
  REQUIRE(RunUntil(loop, [&] { return AllKnow(instances, {"i-1"}); }));
  RunFor(loop, kHeld);
  store.Put("servers", "i-2", json::object());
  const monotonic_time changed_at = loop_context::Now();
  REQUIRE(RunUntil(loop, [&] { return AllKnow(instances, {"i-1", "i-2"}); }));
  const monotonic_time known_at = loop_context::Now();
  for (const auto& each : instances) {
    const auto confirmed = each->confirmed_before["i-2"];
    REQUIRE(confirmed.has_value());
    CHECK(*confirmed <= known_at);
    CHECK(*confirmed >= changed_at - kDelivery);
    CHECK_FALSE(each->unavailable_at.has_value());
  }
}

TEST_CASE("a change after a silent watch may be as old as the silence",
          "[mirror][leaving]") {
  const std::size_t size = GENERATE(1, 4);
  loop_context loop;
  store_standin store(loop);
  const instance_list instances = MakeInstances(loop, store.Address(), size);
  REQUIRE(RunUntil(loop, [&] {
    return AllKnow(instances, {}) &&
           store.WaitingWatchCount("servers") == std::min<std::size_t>(size, 2);
  }));
  RunFor(loop, milliseconds(700));
  store.SetSilent();
  store.Put("servers", "i-2", json::object());
  const monotonic_time changed_at = loop_context::Now();
  REQUIRE(RunUntil(loop, [&] { return AllKnow(instances, {"i-2"}); }));
  for (const auto& each : instances) {
    const auto confirmed = each->confirmed_before["i-2"];
    CAPTURE(size);
    REQUIRE(confirmed.has_value());
    CHECK(*confirmed <= changed_at);
    CHECK_FALSE(each->unavailable_at.has_value());
  }
}

TEST_CASE("all instances learn that the store was unavailable",
          "[mirror][leaving]") {
  loop_context loop;
  store_standin store(loop);
  const instance_list instances = MakeInstances(loop, store.Address(), 4);
  REQUIRE(RunUntil(loop, [&] { return AllKnow(instances, {}); }));
  RunFor(loop, milliseconds(700));
  store.SetDown(true);
  const monotonic_time lost = loop_context::Now();
  CHECK(RunUntil(loop, [&] {
    return std::all_of(instances.begin(), instances.end(),
                       [&](const auto& each) {
                         return each->unavailable_at.has_value() &&
                                *each->unavailable_at >= lost;
                       });
  }));
  for (const auto& each : instances)
    CHECK(each->confirmed_at.value() < each->unavailable_at.value());
}

}  // namespace papayaglade
