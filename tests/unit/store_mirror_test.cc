#include "app/store_mirror.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <memory>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "mirrored_instance.h"

namespace papayaglade {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using tcp = boost::asio::ip::tcp;

// Content that cannot be read, for different reasons.
std::vector<std::string> UnreadableTexts() {
  constexpr std::size_t kDeepLevels = 200'000;
  return {
      std::string(kDeepLevels, '[') + std::string(kDeepLevels, ']'),
      R"({"zone":"kigali-\udce9"})",
      "{\"zone\":\"kigali-\xe9\"}",
      R"({"warmup_left_ms":1e400})",
  };
}

void PutUnreadable(store_standin& store, const std::string& prefix) {
  std::size_t number = 0;
  for (const std::string& each : UnreadableTexts()) {
    store.PutText("servers", prefix + std::to_string(++number), each);
  }
}

// Returns the upstreams of `instance` without the unreadable ones.
std::set<std::string> Readable(const mirrored_instance& instance) {
  std::set<std::string> names;
  for (const std::string& each : instance.upstreams) {
    if (each.rfind("odd", 0) != 0) names.insert(each);
  }
  return names;
}

bool AllRead(const instance_list& instances,
             const std::set<std::string>& upstreams) {
  return std::all_of(instances.begin(), instances.end(), [&](const auto& each) {
    return each->mirror->Complete() && Readable(*each) == upstreams;
  });
}

}  // namespace

// Guards against instances that end, or no longer learn of any change, after
// another writer has left an entry that cannot be read.
TEST_CASE("unreadable entries end no instance and hide no change",
          "[mirror][foreign]") {
  loop_context loop;
  store_standin store(loop);
  store.Put("servers", "i-1", json::object());
  PutUnreadable(store, "odd-listed-");
  const instance_list instances = MakeInstances(loop, store.Address(), 4);
  REQUIRE(RunUntil(loop, [&] { return AllRead(instances, {"i-1"}); }));
  PutUnreadable(store, "odd-watched-");
  store.Put("servers", "i-2", json::object());
  store.Delete("servers", "i-1");
  REQUIRE(RunUntil(loop, [&] { return AllRead(instances, {"i-2"}); }));
  const instance_list restarted = MakeInstances(loop, store.Address(), 2);
  CHECK(RunUntil(loop, [&] { return AllRead(restarted, {"i-2"}); }));
  store.SetDown(true);
  const mirrored_instance follower(loop, store.Address(), "entry-9", false,
                                   {instances[0]->SeedText()});
  CHECK(RunUntil(loop, [&] {
    return follower.mirror->Complete() &&
           Readable(follower) == std::set<std::string>{"i-2"};
  }));
}

// Guards against followers that never get a state, because all objects in one
// message are more than a link accepts.
TEST_CASE(
    "entries as large as the store allows keep no follower from its "
    "state",
    "[mirror][foreign]") {
  constexpr std::size_t kLargeBytes = 700'000;
  loop_context loop;
  store_standin store(loop);
  store.Put("servers", "i-1", json::object());
  const mirrored_instance source(loop, store.Address(), "entry-1", false);
  REQUIRE(RunUntil(loop, [&] { return source.mirror->Complete(); }));
  for (int i = 0; i < 14; ++i) {
    const std::string name = "odd-" + std::to_string(i);
    store.Put("servers", name, {{"x", std::string(kLargeBytes, 'x')}});
    REQUIRE(RunUntil(loop, [&] { return source.upstreams.count(name) == 1; }));
  }
  store.SetDown(true);
  const mirrored_instance follower(loop, store.Address(), "entry-2", false,
                                   {source.SeedText()});
  CHECK(RunUntil(loop, [&] {
    return follower.mirror->Complete() &&
           Readable(follower) == std::set<std::string>{"i-1"};
  }));
}

// Guards against a list that begins again for ever.
TEST_CASE("empty pages that announce more end the list", "[mirror][foreign]") {
  loop_context loop;
  store_standin store(loop);
  store.SetLaterPages(store_standin::later_pages::kEmpty);
  store.Put("servers", "i-1", json::object());
  const mirrored_instance instance(loop, store.Address(), "entry-1", false);
  CHECK(RunUntil(loop, [&] { return instance.mirror->Complete(); }));
  CHECK(instance.upstreams == std::set<std::string>{"i-1"});
  CHECK(store.ListCount("servers") <= 3);
}

// The store allows each instance a share of its calls; a watch that returns at
// once must not use up that of all instances.
TEST_CASE(
    "watches that return at once without a change are not repeated "
    "without a pause",
    "[mirror][foreign]") {
  constexpr std::uint64_t kMaxWatches = 3 * 6;
  loop_context loop;
  store_standin store(loop);
  store.SetEarlyAnswers(true);
  const mirrored_instance instance(loop, store.Address(), "entry-1", false);
  REQUIRE(RunUntil(loop, [&] { return instance.mirror->Complete(); }));
  const std::uint64_t before = store.WatchCount();
  const monotonic_time start = loop_context::Now();
  REQUIRE(RunUntil(loop, [&] {
    return loop_context::Now() - start > std::chrono::seconds(1);
  }));
  CHECK(store.WatchCount() - before <= kMaxWatches);
  store.Put("servers", "i-1", json::object());
  CHECK(RunUntil(loop, [&] { return instance.upstreams.count("i-1") == 1; }));
}

// Counts the lists and watches that eight instances cause at the store.
TEST_CASE("two instances watch the store for their data centre", "[mirror]") {
  loop_context loop;
  store_standin store(loop);
  store.Put("servers", "i-1", json::object());
  const instance_list instances = MakeInstances(loop, store.Address(), 8);
  REQUIRE(RunUntil(loop, [&] { return AllKnow(instances, {"i-1"}); }));
  CHECK(store.ListCount("servers") == 2);
  store.Put("servers", "i-2", json::object());
  store.Delete("servers", "i-1");
  REQUIRE(RunUntil(loop, [&] { return AllKnow(instances, {"i-2"}); }));
  CHECK(store.ListCount("servers") == 2);
  CHECK(store.WaitingWatchCount("servers") <= 2);
}

TEST_CASE(
    "an instance that starts without the store gets its state from a seed",
    "[mirror]") {
  loop_context loop;
  store_standin store(loop);
  store.Put("servers", "i-1", json::object());
  mirrored_instance old(loop, store.Address(), "entry-1", false);
  old.mirror->SetMembers({old.Member("entry-1")});
  REQUIRE(RunUntil(loop, [&] { return old.mirror->Complete(); }));
  store.SetDown(true);
  const mirrored_instance fresh(
      loop, store.Address(), "entry-2", false,
      {FindFreeEndpoint().address + ":1", "no address", old.SeedText()});
  REQUIRE(RunUntil(loop, [&] { return fresh.mirror->Complete(); }));
  CHECK(fresh.upstreams == std::set<std::string>{"i-1"});
  REQUIRE(fresh.members.size() == 1);
  CHECK(fresh.members[0].control == old.control);
}

TEST_CASE("followers keep their state without the store and catch up later",
          "[mirror]") {
  loop_context loop;
  store_standin store(loop);
  store.Put("servers", "i-1", json::object());
  const instance_list instances = MakeInstances(loop, store.Address(), 4);
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

// The feed of closed data centres resumes the others once the store answers
// again. It is between two calls when the feed of upstreams fails, and never
// fails itself. The failed feed must resume all the same.
// Guards against a configuration that comes seconds late, because its feed
// waits for the end of another kind's watch after a second call that failed.
TEST_CASE("a feed that fails again does not wait for another one's watch",
          "[mirror]") {
  loop_context loop;
  store_standin store(loop);
  const mirrored_instance instance(loop, store.Address(), "entry-1", false);
  REQUIRE(RunUntil(loop, [&] {
    return store.WaitingWatchCount("servers") == 1 &&
           store.WaitingWatchCount("evacuations") == 1;
  }));
  std::size_t refusals = 3;
  store.SetAnswerEdit([&](const auto& call, const std::string& answer) {
    if (call.kind != "servers" || refusals == 0) return answer;
    --refusals;
    return store.Answer(503, "");
  });
  store.RefuseWaitingWatches("servers");
  store.Put("servers", "i-1", json::object());
  const monotonic_time start = loop_context::Now();
  CHECK(RunUntil(loop, [&] { return instance.upstreams.count("i-1") == 1; }));
  CHECK(refusals == 0);
  CHECK(loop_context::Now() - start < milliseconds(2500));
}

TEST_CASE("a watch that fails alone resumes", "[mirror]") {
  loop_context loop;
  store_standin store(loop);
  const mirrored_instance instance(loop, store.Address(), "entry-1", false);
  REQUIRE(RunUntil(loop, [&] {
    return store.WaitingWatchCount("servers") == 1 &&
           store.WaitingWatchCount("evacuations") == 1;
  }));
  store.Put("evacuations", "huye", json::object());
  REQUIRE(RunUntil(
      loop, [&] { return store.WaitingWatchCount("evacuations") == 0; }));
  store.RefuseWaitingWatches("servers");
  store.Put("servers", "i-1", json::object());
  CHECK(RunUntil(loop, [&] { return instance.upstreams.count("i-1") == 1; }));
}

// Guards against an instance that keeps to an old configuration, or asks an
// upstream that has left, because the answer to one of its watches was lost
// while the other watches were answered.
TEST_CASE("a lost answer to one watch delays its change no longer than allowed",
          "[mirror]") {
  const auto [kind, name, allowed] =
      GENERATE(std::tuple(stored_kind::kConfiguration, "config",
                          change_delays().configuration),
               std::tuple(stored_kind::kUpstreams, "servers",
                          change_delays().leaving_upstream),
               std::tuple(stored_kind::kClosedDataCentres, "evacuations",
                          change_delays().closed_data_centre));
  const bool sharing = GENERATE(false, true);
  // So that the watch is not at its start, and the machine may be busy.
  constexpr std::chrono::seconds kWatchAge{1};
  loop_context loop;
  store_standin store(loop);
  const mirrored_instance instance(loop, store.Address(), "entry-1", sharing);
  if (sharing) instance.mirror->SetMembers({instance.Member("entry-1")});
  REQUIRE(RunUntil(loop, [&, watched = name] {
    return instance.mirror->Complete() && store.WaitingWatchCount(watched) == 1;
  }));
  const monotonic_time watched_at = loop_context::Now();
  REQUIRE(RunUntil(
      loop, [&] { return loop_context::Now() - watched_at > kWatchAge; }));
  store.LoseNextAnswer(name);
  store.Put(name, "changed", json::object());
  const monotonic_time changed_at = loop_context::Now();
  const std::pair<stored_kind, std::string> change(kind, "changed");
  REQUIRE(RunUntil(loop, [&] { return instance.received.count(change) == 1; }));
  CAPTURE(name, sharing);
  CHECK(store.LostAnswer());
  CHECK((loop_context::Now() - changed_at) / milliseconds(1) <=
        allowed / milliseconds(1));
}

TEST_CASE("malformed bytes close only their own link", "[mirror]") {
  loop_context loop;
  store_standin store(loop);
  store.Put("servers", "i-1", json::object());
  const instance_list instances = MakeInstances(loop, store.Address(), 3);
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
