#include "coordination/object_gossip.h"

#include <catch2/catch.hpp>

#include "virtual_group.h"

namespace papayaglade {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kSeed = 20261204;
constexpr seconds kPropagationTimeout{7};

std::string Name(int number) { return "entry-" + std::to_string(number); }

void StartGroup(virtual_group& group, int first, int count,
                const std::string& data_centre) {
  for (int i = first; i < first + count; ++i) {
    group.Start(Name(i), data_centre);
    if (i > first) group.Hint(Name(i), Name(first));
  }
  group.Advance(seconds(3));
}

auto HoldsVersion(virtual_group& group, std::uint64_t version) {
  return [&group, version] { return group.AllHold(version); };
}

object_reply ReplyWith(std::uint64_t version) {
  return {false, ConfigurationOf(version)};
}

// Returns how many object requests `gossip` has sent since the last call.
std::size_t CountRequests(object_gossip& gossip) {
  std::size_t requests = 0;
  for (const peer_action& each : gossip.TakeActions()) {
    const auto* sent = std::get_if<send_to_peer>(&each);
    if (sent == nullptr) continue;
    requests += std::holds_alternative<object_request>(sent->message) ? 1 : 0;
  }
  return requests;
}

}  // namespace

TEST_CASE("a configuration of one instance reaches all instances", "[spread]") {
  const int count = GENERATE(2, 7, 26, 104);
  virtual_group group(kSeed);
  StartGroup(group, 0, count, "kigali");
  group.Offer(Name(1), ConfigurationOf(1));
  CHECK(group.AdvanceUntil(HoldsVersion(group, 1), kPropagationTimeout) <
        seconds(3));
}

TEST_CASE("digests deliver what announcements missed", "[spread]") {
  virtual_group group(kSeed);
  StartGroup(group, 0, 26, "kigali");
  // All messages that are sent immediately are lost.
  group.SetCut([](const std::string&, const std::string&) { return true; });
  group.Offer(Name(1), ConfigurationOf(1));
  group.Advance(milliseconds(100));
  group.SetCut(nullptr);
  CHECK(group.AdvanceUntil(HoldsVersion(group, 1), kPropagationTimeout) <
        kPropagationTimeout);
}

TEST_CASE("gateways pass versions to another data centre", "[spread]") {
  virtual_group group(kSeed);
  StartGroup(group, 0, 7, "kigali");
  StartGroup(group, 7, 7, "huye");
  group.SetGateways(Name(3), {Name(9)});
  SECTION("by announcement") {
    group.Offer(Name(1), ConfigurationOf(1));
    CHECK(group.AdvanceUntil(HoldsVersion(group, 1), kPropagationTimeout) <
          kPropagationTimeout);
  }
  SECTION("by summary from the side that is behind") {
    group.Offer(Name(10), ConfigurationOf(1));
    CHECK(group.AdvanceUntil(HoldsVersion(group, 1), kPropagationTimeout) <
          kPropagationTimeout);
  }
}

TEST_CASE("a new instance gets all objects from its peers", "[spread]") {
  virtual_group group(kSeed);
  StartGroup(group, 0, 7, "kigali");
  group.Offer(Name(1), ConfigurationOf(5));
  group.Advance(seconds(3));
  group.Start(Name(7), "kigali");
  group.Hint(Name(7), Name(4));
  CHECK(group.AdvanceUntil(HoldsVersion(group, 5), kPropagationTimeout) <
        kPropagationTimeout);
}

TEST_CASE("a version never decreases", "[spread]") {
  std::vector<std::uint64_t> accepted;
  object_gossip gossip(
      [&accepted](const versioned_object& object) {
        accepted.push_back(object.version);
        return true;
      },
      kSeed);
  const monotonic_time now{seconds(1)};
  CHECK(gossip.Offer(ConfigurationOf(3), now));
  CHECK_FALSE(gossip.Offer(ConfigurationOf(2), now));
  CHECK_FALSE(gossip.Offer(ConfigurationOf(3), now));
  gossip.OnMessage("entry-2", ReplyWith(2), now);
  gossip.OnMessage("entry-2", ReplyWith(4), now);
  gossip.OnMessage("entry-2", ReplyWith(3), now);
  CHECK(accepted == std::vector<std::uint64_t>{3, 4});
  CHECK(gossip.Store().VersionOf(ConfigurationOf(1).key) == 4);
}

TEST_CASE("a refused object is fetched only once", "[spread]") {
  object_gossip gossip([](const versioned_object&) { return false; }, kSeed);
  const monotonic_time now{seconds(1)};
  const version_digest digest{true, {{ConfigurationOf(8).key, 8}}};
  gossip.OnMessage("entry-2", digest, now);
  CHECK(CountRequests(gossip) == 1);
  gossip.OnMessage("entry-2", ReplyWith(8), now);
  for (int i = 0; i < 100; ++i) gossip.OnMessage("entry-2", digest, now);
  CHECK(CountRequests(gossip) == 0);
}

TEST_CASE("the next peer is asked when one does not answer", "[spread]") {
  object_gossip gossip([](const versioned_object&) { return true; }, kSeed);
  monotonic_time now{seconds(1)};
  const version_digest digest{false, {{ConfigurationOf(8).key, 8}}};
  gossip.OnMessage("entry-2", digest, now);
  gossip.OnMessage("entry-3", digest, now);
  CHECK(CountRequests(gossip) == 1);
  now += seconds(2);
  gossip.OnTick(now);
  CHECK(CountRequests(gossip) == 1);
  now += seconds(2);
  gossip.OnTick(now);
  CHECK(CountRequests(gossip) == 0);
  gossip.OnMessage("entry-2", digest, now);
  CHECK(CountRequests(gossip) == 1);
}

TEST_CASE("large objects are sent within a byte rate limit", "[spread]") {
  object_gossip gossip([](const versioned_object&) { return true; }, kSeed);
  const monotonic_time now{seconds(1)};
  gossip.Offer(ConfigurationOf(1, 1024 * 1024), now);
  std::size_t sent = 0;
  for (int i = 0; i < 104; ++i) {
    gossip.OnMessage(Name(i), object_request{ConfigurationOf(1).key}, now);
  }
  for (const peer_action& each : gossip.TakeActions()) {
    const auto& message = std::get<send_to_peer>(each).message;
    const auto* reply = std::get_if<object_reply>(&message);
    if (reply != nullptr && !reply->busy) ++sent;
  }
  CHECK(sent <= 9);
}

}  // namespace papayaglade
