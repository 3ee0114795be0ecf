#include "app/store_mirror.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "loop_store.h"
#include "platform/platform_store_format.h"

namespace papayaglade {

namespace {

using nlohmann::json;
using tcp = boost::asio::ip::tcp;

/// One instance's copy, and what it was told.
class mirrored_instance {
 public:
  mirrored_instance(loop_context& loop, const endpoint& store,
                    const std::string& name, bool sharing,
                    std::vector<std::string> seeds = {})
      : log_(loop) {
    entry_settings settings;
    settings.name = name;
    settings.data_centre = "kigali";
    settings.control = control;
    settings.store = store;
    settings.seeds = std::move(seeds);
    mirror = std::make_unique<store_mirror>(
        loop, format_, log_, settings, sharing,
        store_mirror::handlers{[this](stored_kind kind, const auto& objects) {
                                 if (kind == stored_kind::kUpstreams)
                                   Note(objects);
                               },
                               [this](const auto& told) { members = told; }});
    REQUIRE(mirror->Start().empty());
  }

  fleet_member Member(const std::string& name) const {
    return {name, "kigali", control, 0};
  }
  std::string SeedText() const {
    return control.address + ":" + std::to_string(control.port);
  }

  endpoint control = FreeEndpoint();
  std::unique_ptr<store_mirror> mirror;
  std::set<std::string> upstreams;
  std::vector<fleet_member> members;

 private:
  void Note(const std::vector<stored_object>& objects) {
    for (const stored_object& each : objects) {
      if (each.deleted) {
        upstreams.erase(each.name);
      } else {
        upstreams.insert(each.name);
      }
    }
  }

  platform::platform_store_format format_;
  decision_log log_;
};

using instance_list = std::vector<std::unique_ptr<mirrored_instance>>;

bool AllKnow(const instance_list& instances,
             const std::set<std::string>& upstreams) {
  return std::all_of(instances.begin(), instances.end(), [&](const auto& each) {
    return each->mirror->Complete() && each->upstreams == upstreams;
  });
}

instance_list Group(loop_context& loop, const endpoint& store,
                    std::size_t size) {
  instance_list instances;
  std::vector<fleet_member> members;
  for (std::size_t i = 0; i < size; ++i) {
    const std::string name = "entry-" + std::to_string(i);
    instances.push_back(
        std::make_unique<mirrored_instance>(loop, store, name, true));
    members.push_back(instances.back()->Member(name));
  }
  for (const auto& each : instances) each->mirror->SetMembers(members);
  return instances;
}

}  // namespace

// Pattern: many instances, whose calls to the store are counted.
TEST_CASE("two instances watch the store for all of a data centre",
          "[mirror]") {
  loop_context loop;
  loop_store store(loop);
  store.Put("servers", "i-1", json::object());
  const instance_list instances = Group(loop, store.Address(), 8);
  REQUIRE(RunUntil(loop, [&] { return AllKnow(instances, {"i-1"}); }));
  CHECK(store.Lists("servers") == 2);
  store.Put("servers", "i-2", json::object());
  store.Delete("servers", "i-1");
  REQUIRE(RunUntil(loop, [&] { return AllKnow(instances, {"i-2"}); }));
  CHECK(store.Lists("servers") == 2);
  CHECK(store.Waiting("servers") <= 2);
}

TEST_CASE("an instance that starts without the store learns from a seed",
          "[mirror]") {
  loop_context loop;
  loop_store store(loop);
  store.Put("servers", "i-1", json::object());
  mirrored_instance old(loop, store.Address(), "entry-1", false);
  old.mirror->SetMembers({old.Member("entry-1")});
  REQUIRE(RunUntil(loop, [&] { return old.mirror->Complete(); }));
  store.SetDown(true);
  const mirrored_instance fresh(
      loop, store.Address(), "entry-2", false,
      {FreeEndpoint().address + ":1", "no address", old.SeedText()});
  REQUIRE(RunUntil(loop, [&] { return fresh.mirror->Complete(); }));
  CHECK(fresh.upstreams == std::set<std::string>{"i-1"});
  REQUIRE(fresh.members.size() == 1);
  CHECK(fresh.members[0].control == old.control);
}

TEST_CASE("followers go on without the store and catch up at its return",
          "[mirror]") {
  loop_context loop;
  loop_store store(loop);
  store.Put("servers", "i-1", json::object());
  const instance_list instances = Group(loop, store.Address(), 4);
  REQUIRE(RunUntil(loop, [&] { return AllKnow(instances, {"i-1"}); }));
  store.SetDown(true);
  store.Put("servers", "i-2", json::object());
  const monotonic_time lost = loop_context::Now();
  REQUIRE(RunUntil(loop, [&] {
    return loop_context::Now() - lost > std::chrono::milliseconds(600);
  }));
  CHECK(AllKnow(instances, {"i-1"}));
  store.SetDown(false);
  CHECK(RunUntil(loop, [&] { return AllKnow(instances, {"i-1", "i-2"}); }));
}

// The watch on closed data centres, which tells when the store is back, is
// between two calls when the one on upstreams fails; it never fails itself.
TEST_CASE("a watch that failed alone goes on", "[mirror]") {
  loop_context loop;
  loop_store store(loop);
  const mirrored_instance instance(loop, store.Address(), "entry-1", false);
  REQUIRE(RunUntil(loop, [&] {
    return store.Waiting("servers") == 1 && store.Waiting("evacuations") == 1;
  }));
  store.Put("evacuations", "huye", json::object());
  REQUIRE(RunUntil(loop, [&] { return store.Waiting("evacuations") == 0; }));
  store.RefuseWaiting("servers");
  store.Put("servers", "i-1", json::object());
  CHECK(RunUntil(loop, [&] { return instance.upstreams.count("i-1") == 1; }));
}

TEST_CASE("bytes that are no message end their link and nothing else",
          "[mirror]") {
  loop_context loop;
  loop_store store(loop);
  store.Put("servers", "i-1", json::object());
  const instance_list instances = Group(loop, store.Address(), 3);
  REQUIRE(RunUntil(loop, [&] { return AllKnow(instances, {"i-1"}); }));
  boost::asio::io_context io;
  for (const auto& each : instances) {
    tcp::socket socket(io);
    socket.connect({boost::asio::ip::make_address(each->control.address),
                    each->control.port});
    boost::asio::write(socket,
                       boost::asio::buffer(std::string("\x01\xff\r\n\r\n")));
  }
  store.Put("servers", "i-2", json::object());
  CHECK(RunUntil(loop, [&] { return AllKnow(instances, {"i-1", "i-2"}); }));
}

}  // namespace papayaglade
