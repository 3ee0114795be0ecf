#include <algorithm>
#include <catch2/catch.hpp>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "mirrored_instance.h"

namespace papayaglade {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

bool AllReceived(const instance_list& instances, stored_kind kind,
                 const std::string& name) {
  return std::all_of(instances.begin(), instances.end(), [&](const auto& each) {
    return each->received.count({kind, name}) == 1;
  });
}

// Returns instances of which some follow others, or a single one.
instance_list MakeTier(loop_context& loop, const store_standin& store,
                       bool sharing) {
  if (sharing) return MakeInstances(loop, store.Address(), 4);
  instance_list instances;
  instances.push_back(std::make_unique<mirrored_instance>(loop, store.Address(),
                                                          "entry-1", false));
  return instances;
}

void RunFor(loop_context& loop, milliseconds time) {
  const monotonic_time start = loop_context::Now();
  RunUntil(loop, [&] { return loop_context::Now() - start >= time; });
}

}  // namespace

// Guards against instances that refuse the state of a restored store for good,
// because its revisions are below those they know: an acknowledged
// configuration is never applied (review/11).
TEST_CASE("the state of a restored store is taken at a lower revision",
          "[mirror][era]") {
  const bool sharing = GENERATE(false, true);
  loop_context loop;
  store_standin store(loop);
  store.Put("servers", "i-1", json::object());
  const instance_list instances = MakeTier(loop, store, sharing);
  const auto copy = store.Copy();
  for (const char* lost : {"i-2", "i-3", "i-4"})
    store.Put("servers", lost, json::object());
  REQUIRE(RunUntil(loop, [&] {
    return AllKnow(instances, {"i-1", "i-2", "i-3", "i-4"});
  }));
  store.Restore(copy);
  CHECK(RunUntil(loop, [&] { return AllKnow(instances, {"i-1"}); }));
  store.Put("config", "main", {{"version", 14}});
  CHECK(RunUntil(loop, [&] {
    return AllReceived(instances, stored_kind::kConfiguration, "main");
  }));
}

// Guards against instances that skip what a restored store wrote under the
// revisions that it gave out again: no 410 tells them that their position is
// gone, and an acknowledged evacuation is never seen (review/12).
TEST_CASE("no change of a restored store is skipped", "[mirror][era]") {
  const bool sharing = GENERATE(false, true);
  loop_context loop;
  store_standin store(loop);
  store.Put("servers", "i-1", json::object());
  const instance_list instances = MakeTier(loop, store, sharing);
  const auto copy = store.Copy();
  store.Put("servers", "i-2", json::object());
  store.Put("servers", "i-3", json::object());
  REQUIRE(RunUntil(loop, [&] {
    return AllKnow(instances, {"i-1", "i-2", "i-3"});
  }));
  store.Restore(copy);
  store.Put("evacuations", "huye", json::object());
  for (const char* later : {"i-4", "i-5", "i-6"})
    store.Put("servers", later, json::object());
  CHECK(RunUntil(loop, [&] {
    return AllReceived(instances, stored_kind::kClosedDataCentres, "huye") &&
           AllKnow(instances, {"i-1", "i-4", "i-5", "i-6"});
  }));
}

// Guards against a list whose pages are of two eras.
TEST_CASE("a list that a restore interrupts begins again", "[mirror][era]") {
  loop_context loop;
  store_standin store(loop);
  const auto copy = store.Copy();
  store.Put("servers", "i-1", json::object());
  store.SetLaterPages(store_standin::later_pages::kEmpty);
  const mirrored_instance instance(loop, store.Address(), "entry-1", false);
  store.SetOnList([&](const std::string& kind) {
    if (kind == "servers" && store.ListCount(kind) == 1) store.Restore(copy);
  });
  CHECK(RunUntil(loop, [&] { return instance.mirror->Complete(); }));
  CHECK(instance.upstreams.empty());
  CHECK(instance.era.Known() == 2);
}

// Guards against a copy that goes back to the state before a restore, when an
// answer that was given before it arrives late.
TEST_CASE("an answer of an older era changes nothing", "[mirror][era]") {
  loop_context loop;
  store_standin store(loop);
  store.SetEra(7);
  const mirrored_instance instance(loop, store.Address(), "entry-1", false);
  REQUIRE(RunUntil(loop, [&] { return instance.mirror->Complete(); }));
  store.SetEra(6);
  store.Put("servers", "i-1", json::object());
  RunFor(loop, milliseconds(700));
  CHECK(instance.upstreams.empty());
  CHECK(instance.era.OlderCount() > 0);
  CHECK(instance.era.Known() == 7);
  store.SetEra(7);
  CHECK(RunUntil(loop, [&] { return instance.upstreams.count("i-1") == 1; }));
}

// A store that names no era, or no longer does, is followed by its revisions.
TEST_CASE("changes of a store that names no era are taken", "[mirror][era]") {
  loop_context loop;
  store_standin store(loop);
  const bool named_before = GENERATE(false, true);
  if (!named_before) store.SetEra(kNoEra);
  const instance_list instances = MakeInstances(loop, store.Address(), 3);
  REQUIRE(RunUntil(loop, [&] { return AllKnow(instances, {}); }));
  store.SetEra(kNoEra);
  store.Put("servers", "i-1", json::object());
  CHECK(RunUntil(loop, [&] { return AllKnow(instances, {"i-1"}); }));
}

// An era may begin at any number, also at 0.
TEST_CASE("the first era is no restore, the next one is", "[mirror][era]") {
  loop_context loop;
  store_standin store(loop);
  store.SetEra(0);
  const mirrored_instance instance(loop, store.Address(), "entry-1", false);
  REQUIRE(RunUntil(loop, [&] { return instance.mirror->Complete(); }));
  CHECK(instance.era.ChangeCount() == 0);
  CHECK_FALSE(instance.unavailable_at.has_value());
  CHECK(store.ListCount("servers") == 1);
  store.Restore(store.Copy());
  CHECK(RunUntil(loop, [&] { return instance.era.ChangeCount() == 1; }));
  // Entries may be missing that are back soon.
  CHECK(instance.unavailable_at.has_value());
}

// Guards against a source whose own watches have gone silent, while an instance
// that follows it has heard of the restore from another call.
TEST_CASE("an era that a follower knows makes its source ask the store",
          "[mirror][era]") {
  loop_context loop;
  store_standin store(loop);
  mirrored_instance source(loop, store.Address(), "entry-1", false);
  REQUIRE(RunUntil(loop, [&] { return source.mirror->Complete(); }));
  store.SetDown(true);
  mirrored_instance follower(loop, store.Address(), "entry-2", false,
                             {source.SeedText()});
  REQUIRE(RunUntil(loop, [&] { return follower.mirror->Complete(); }));
  store.SetDown(false);
  const std::size_t lists = store.ListCount("evacuations");
  follower.era.Observe(2);
  CHECK(RunUntil(loop,
                 [&] { return store.ListCount("evacuations") == lists + 1; }));
  // The store has not been restored: its word counts.
  RunFor(loop, milliseconds(300));
  CHECK(source.era.Known() == 1);
  CHECK(store.ListCount("evacuations") == lists + 1);
}

// Guards against an instance that starts and gets the state before a restore
// from one that was cut off.
TEST_CASE("the state of an earlier era is not taken from another instance",
          "[mirror][era]") {
  loop_context loop;
  store_standin store(loop);
  const auto copy = store.Copy();
  store.Put("servers", "i-1", json::object());
  const mirrored_instance source(loop, store.Address(), "entry-1", false);
  REQUIRE(RunUntil(loop, [&] { return source.mirror->Complete(); }));
  store.SetDown(true);
  mirrored_instance fresh(loop, store.Address(), "entry-2", false,
                          {source.SeedText()});
  fresh.era.Observe(2);
  RunFor(loop, milliseconds(500));
  CHECK_FALSE(fresh.mirror->Complete());
  store.Restore(copy);
  store.SetDown(false);
  REQUIRE(RunUntil(loop, [&] { return fresh.mirror->Complete(); }));
  CHECK(fresh.upstreams.empty());
}

TEST_CASE("two restores within a second leave no instance behind",
          "[mirror][era]") {
  loop_context loop;
  store_standin store(loop);
  store.Put("servers", "i-1", json::object());
  const auto copy = store.Copy();
  const instance_list instances = MakeInstances(loop, store.Address(), 4);
  store.Put("servers", "i-2", json::object());
  REQUIRE(RunUntil(loop, [&] { return AllKnow(instances, {"i-1", "i-2"}); }));
  store.Restore(copy);
  store.Put("servers", "i-3", json::object());
  RunFor(loop, milliseconds(250));
  store.Restore(copy);
  store.Put("servers", "i-4", json::object());
  CHECK(RunUntil(loop, [&] { return AllKnow(instances, {"i-1", "i-4"}); }));
  for (const auto& each : instances) CHECK(each->era.Known() == 3);
}

}  // namespace papayaglade
