#include "app/instance_registry.h"

#include <catch2/catch.hpp>
#include <cstddef>
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
  std::vector<std::string> names;
  bool counted = false;
  instance_registry registry(
      loop, format, log, store.Address(), {"entry-1", "kigali", {}, 0},
      [&](const fleet_position&, const std::vector<fleet_member>& members) {
        if (counted) return;
        counted = true;
        for (const fleet_member& each : members) names.push_back(each.name);
      });
  registry.Start();
  CHECK(RunUntil(loop, [&] { return counted; }));
  return names;
}

}  // namespace

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
