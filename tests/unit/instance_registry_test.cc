#include "app/instance_registry.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include "platform/platform_store_format.h"
#include "store_standin.h"

namespace papayaglade {

namespace {

// Counts the instances in `store` once and returns their names.
std::vector<std::string> CountInstances(loop_context& loop,
                                        store_standin& store) {
  const platform::platform_store_format format;
  structured_log log(loop);
  store_era era;
  std::vector<std::string> names;
  bool counted = false;
  instance_registry registry(
      loop, format, log, era, store.Address(), {"entry-1", "kigali", {}, 0},
      [&](const fleet_position&, const std::vector<fleet_member>& members) {
        if (counted) return;
        counted = true;
        for (const fleet_member& each : members) names.push_back(each.name);
      });
  registry.Start();
  CHECK(RunUntil(loop, [&] { return counted; }));
  return names;
}

// The registry of one instance, and what it has counted.
class registered_instance {
 public:
  registered_instance(loop_context& loop, const endpoint& store,
                      const std::string& name,
                      const endpoint& control = {"127.0.0.1", 8106})
      : log_(loop),
        registry(loop, format_, log_, era, store, {name, "kigali", control, 0},
                 [this](const fleet_position& fleet,
                        const std::vector<fleet_member>& counted) {
                   counts.push_back(fleet.instances);
                   members = counted;
                 }) {}

 private:
  platform::platform_store_format format_;
  structured_log log_;

 public:
  store_era era;
  std::vector<std::size_t> counts;
  std::vector<fleet_member> members;
  instance_registry registry;
};

// Runs until the instance is entered and has made its counts at the start.
void AwaitStart(loop_context& loop, const registered_instance& instance) {
  constexpr std::size_t kStartupCounts = 3;
  REQUIRE(
      RunUntil(loop, [&] { return instance.counts.size() >= kStartupCounts; }));
}

void PutOthers(store_standin& store, std::size_t count) {
  for (std::size_t i = 0; i < count; ++i)
    store.Put("entries", "other-" + std::to_string(i),
              {{"data_centre", "kigali"}});
}

}  // namespace

// Guards against an instance that asks for the same page of the instances for
// ever and never counts them.
TEST_CASE("a count whose later page cannot be read begins again",
          "[registry][vain]") {
  using part = store_standin::read_call::part;
  loop_context loop;
  store_standin store(loop);
  PutOthers(store, 2);
  store.SetLaterPages(store_standin::later_pages::kEmpty);
  const auto first_pages = [&] {
    return std::count_if(
        store.Reads().begin(), store.Reads().end(),
        [](const auto& each) { return each.asked == part::kFirstPage; });
  };
  store.SetAnswerEdit([&](const auto& call, const std::string& answer) {
    const bool spoilt = call.asked == part::kLaterPage && first_pages() == 1;
    return spoilt ? store.Answer(200, "{") : answer;
  });
  registered_instance instance(loop, store.Address(), "entry-1");
  instance.registry.Start();
  CHECK(RunUntil(loop, [&] { return !instance.counts.empty(); }));
}

// Guards against instances that each count one instance, because a restored
// store has lost their entries and none writes its entry again: cold upstreams
// then get the requests of all instances at once (review/13).
TEST_CASE("an instance that a restored store lacks enters itself again",
          "[registry][era]") {
  constexpr std::chrono::seconds kMaxDelay{2};
  loop_context loop;
  store_standin store(loop);
  const auto copy = store.Copy();
  PutOthers(store, 6);
  registered_instance instance(loop, store.Address(), "entry-1");
  instance.registry.Start();
  AwaitStart(loop, instance);
  REQUIRE(store.Has("entries", "entry-1"));
  REQUIRE(instance.counts.back() == 7);
  store.Restore(copy);
  SECTION("another call has shown the restore") { instance.era.Observe(2); }
  SECTION("its own count shows the restore") {
    REQUIRE(RunUntil(loop, [&] { return instance.era.Known() == 2; }));
  }
  const monotonic_time noticed = loop_context::Now();
  CHECK(RunUntil(loop, [&] { return store.Has("entries", "entry-1"); }));
  CHECK(loop_context::Now() - noticed < kMaxDelay);
  const std::size_t counted = instance.counts.size();
  REQUIRE(RunUntil(loop, [&] { return instance.counts.size() > counted + 2; }));
  // The others may need longer, for instance if they are cut off.
  CHECK(*std::min_element(instance.counts.begin() + 3, instance.counts.end()) ==
        7);
  CHECK(instance.members.size() == 7);
  CHECK(instance.registry.ReentryCount() == 1);
}

// Guards against a store that refuses calls because all instances of a large
// installation write at once.
TEST_CASE("the instances of a large installation enter themselves over a time",
          "[registry][era]") {
  constexpr std::size_t kInstances = 195;
  constexpr std::chrono::milliseconds kWindow{250};
  constexpr std::size_t kMaxWrites = 400 / 4;  // In a window.
  loop_context loop;
  store_standin store(loop);
  const auto copy = store.Copy();
  std::vector<std::unique_ptr<registered_instance>> instances;
  // A connection of each would be more than the stand-in takes at once.
  for (std::size_t i = 0; i < kInstances; ++i) {
    instances.push_back(std::make_unique<registered_instance>(
        loop, store.Address(), "other-" + std::to_string(i)));
    instances.back()->registry.Start();
    REQUIRE(RunUntil(loop, [&] { return !instances[i]->counts.empty(); }));
  }
  AwaitStart(loop, *instances.back());
  REQUIRE(store.CreationTimes().size() == kInstances);
  store.Restore(copy);
  const std::size_t before = store.CreationTimes().size();
  const monotonic_time noticed = loop_context::Now();
  for (const auto& each : instances) each->era.Observe(2);
  REQUIRE(RunUntil(loop, [&] {
    return store.CreationTimes().size() - before == kInstances;
  }));
  CHECK(loop_context::Now() - noticed < std::chrono::seconds(2));
  const std::vector<monotonic_time> times(
      store.CreationTimes().begin() + static_cast<std::ptrdiff_t>(before),
      store.CreationTimes().end());
  for (const monotonic_time start : times) {
    const auto writes = std::count_if(times.begin(), times.end(), [&](auto at) {
      return at >= start && at < start + kWindow;
    });
    CHECK(static_cast<std::size_t>(writes) <= kMaxWrites);
  }
}

// Guards against others that connect to where the instance was before its
// restart.
TEST_CASE("an entry from before a restart is replaced after a restore",
          "[registry][era]") {
  loop_context loop;
  store_standin store(loop);
  store.Put("entries", "entry-1",
            {{"data_centre", "kigali"}, {"control", "127.0.0.1:1"}});
  const auto copy = store.Copy();
  registered_instance instance(loop, store.Address(), "entry-1");
  instance.registry.Start();
  const auto is_own = [&] {
    return store.Has("entries", "entry-1") &&
           store.ContentOf("entries", "entry-1")["control"] == "127.0.0.1:8106";
  };
  REQUIRE(RunUntil(loop, is_own));
  AwaitStart(loop, instance);
  store.Restore(copy);
  instance.era.Observe(2);
  CHECK(RunUntil(loop, is_own));
}

// Guards against an instance that is not counted any more, after the store has
// executed a deletion of its entry late.
TEST_CASE("an instance whose entry is gone enters itself again", "[registry]") {
  loop_context loop;
  store_standin store(loop);
  registered_instance instance(loop, store.Address(), "entry-1");
  instance.registry.Start();
  AwaitStart(loop, instance);
  store.Delete("entries", "entry-1");
  CHECK(RunUntil(loop, [&] { return store.Has("entries", "entry-1"); }));
  CHECK(instance.registry.ReentryCount() == 1);
}

TEST_CASE("an instance that stops leaves a restored store, too",
          "[registry][era]") {
  loop_context loop;
  store_standin store(loop);
  registered_instance instance(loop, store.Address(), "entry-1");
  instance.registry.Start();
  AwaitStart(loop, instance);
  const auto copy = store.Copy();
  instance.registry.Leave();
  REQUIRE(RunUntil(loop, [&] { return !store.Has("entries", "entry-1"); }));
  store.Restore(copy);
  instance.era.Observe(2);
  CHECK(RunUntil(loop, [&] { return !store.Has("entries", "entry-1"); }));
}

// Guards against an instance that takes a large share of all limits, because it
// starts while a restored store lacks the others.
TEST_CASE("an instance that starts counts those that another one knows",
          "[registry][era]") {
  constexpr std::size_t kOthers = 40;
  loop_context loop;
  store_standin store(loop);
  registered_instance instance(loop, store.Address(), "entry-1");
  instance.registry.Start();
  REQUIRE(RunUntil(loop, [&] { return instance.counts.size() == 1; }));
  std::vector<fleet_member> others;
  for (std::size_t i = 0; i < kOthers; ++i)
    others.push_back({"other-" + std::to_string(i), "kigali", {}, 0});
  instance.registry.OnPeerMembers(others);
  REQUIRE(RunUntil(loop, [&] { return instance.counts.size() == 2; }));
  CHECK(instance.counts.back() == kOthers + 1);
}

// Guards against calls to the store without a pause and without an end.
TEST_CASE("a list of instances that repeats itself is counted once",
          "[registry][foreign]") {
  loop_context loop;
  store_standin store(loop);
  store.Put("entries", "entry-2", nlohmann::json::object());
  store.SetLaterPages(store_standin::later_pages::kRepeated);
  const std::vector<std::string> names = CountInstances(loop, store);
  REQUIRE_FALSE(names.empty());
  // The instance itself may be listed in the second page.
  CHECK(names.back() == "entry-2");
  CHECK(store.ListCount("entries") == 2);
}

// Guards against an instance whose shares of all limits are wrong, because one
// entry keeps it from counting the instances.
TEST_CASE("an entry that cannot be read is counted as an instance",
          "[registry][foreign]") {
  loop_context loop;
  store_standin store(loop);
  store.PutText("entries", "entry-2", R"({"cores":1e400})");
  store.PutText("entries", "entry-3", R"({"data_centre":"\udce9"})");
  store.Put("entries", "entry-4", {{"cores", 2}});
  CHECK(CountInstances(loop, store) ==
        std::vector<std::string>{"entry-2", "entry-3", "entry-4"});
}

}  // namespace papayaglade
