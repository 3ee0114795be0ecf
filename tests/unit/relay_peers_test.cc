#include "coordination/relay_peers.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <string>
#include <vector>

namespace papayaglade {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr monotonic_time kStart{std::chrono::hours(1)};

fleet_member Member(std::size_t number, const std::string& data_centre,
                    double cores = 0.25) {
  const auto port = static_cast<std::uint16_t>(1000 + number);
  return {"entry-" + std::to_string(number), data_centre,
          endpoint{"10.0.0.1", port}, cores};
}

void OpenAll(relay_peers& peers, const std::string& data_centre,
             monotonic_time now) {
  for (const auto& each : peers.TakeDials(data_centre, now))
    relay_peers::OnOpen(*each);
}

}  // namespace

TEST_CASE("only instances of other data centres relay, over an open link",
          "[relay]") {
  relay_peers peers(Member(0, "a"));
  peers.SetMembers({Member(0, "a"), Member(1, "a"), Member(2, "b"),
                    Member(3, "b"), Member(4, "b"), Member(5, "")});
  CHECK(peers.TakeDials("a", kStart).empty());
  CHECK(peers.TakeDials("c", kStart).empty());
  CHECK(peers.Choose("b", kStart) == nullptr);
  const auto dials = peers.TakeDials("b", kStart);
  REQUIRE(dials.size() == relay_peers::kLinksPerDataCentre);
  CHECK(peers.TakeDials("b", kStart).empty());
  CHECK(peers.Choose("b", kStart) == nullptr);
  relay_peers::OnOpen(*dials[0]);
  CHECK(peers.Choose("b", kStart) == dials[0]);
}

TEST_CASE("an instance without an address or a known data centre is not used",
          "[relay]") {
  relay_peers peers(Member(0, "a"));
  fleet_member unknown = Member(1, "b");
  unknown.control.port = 0;
  peers.SetMembers({unknown, Member(2, "")});
  CHECK(peers.TakeDials("b", kStart).empty());
}

// Answers to an instance that is slow, frozen or cut off: its relays must not
// hold up all fan-outs.
TEST_CASE("a peer that does not answer is avoided", "[relay][load]") {
  relay_peers peers(Member(0, "a"));
  peers.SetMembers({Member(1, "b"), Member(2, "b"), Member(3, "b")});
  OpenAll(peers, "b", kStart);
  const relay_peer_pointer first = peers.Choose("b", kStart);
  REQUIRE(first != nullptr);
  SECTION("silent") {
    const auto begun = first->health.BeginAttempt(kStart, milliseconds(50));
    first->health.RecordTimeout(begun, kStart);
    const auto other = peers.Choose("b", kStart);
    REQUIRE(other != nullptr);
    CHECK(other != first);
  }
  SECTION("slow") {
    for (int i = 0; i < 3; ++i) {
      const auto begun = first->health.BeginAttempt(kStart, seconds(1));
      first->health.RecordAnswer(begun, milliseconds(20),
                                 kStart + milliseconds(200));
    }
    CHECK(peers.Choose("b", kStart + milliseconds(200)) != first);
  }
  SECTION("its link closed") {
    relay_peers::OnClosed(*first, kStart);
    CHECK(peers.Choose("b", kStart) != first);
    // Another one takes its place until it may be dialled again.
    const auto dials = peers.TakeDials("b", kStart);
    REQUIRE(dials.size() == 1);
    CHECK(dials[0] != first);
    CHECK(peers.TakeDials("b", kStart + seconds(5)).size() == 1);
  }
  SECTION("about to stop") {
    relay_peers::OnStopping(*first, kStart);
    CHECK(peers.Choose("b", kStart + seconds(1)) != first);
  }
}

TEST_CASE("links are dialled less often the more often they fail", "[relay]") {
  relay_peers peers(Member(0, "a"));
  peers.SetMembers({Member(1, "b")});
  std::size_t dials = 0;
  for (milliseconds age{0}; age < seconds(60); age += milliseconds(50)) {
    for (const auto& each : peers.TakeDials("b", kStart + age)) {
      ++dials;
      relay_peers::OnClosed(*each, kStart + age);
    }
  }
  CHECK(dials > 10);
  CHECK(dials < 30);
}

// Answers to a data centre whose instances all relay through the same one.
TEST_CASE("the instances of a fleet spread their relays by cores",
          "[relay][load]") {
  for (const std::size_t size : {3, 6, 30, 195, 1000}) {
    const std::size_t per_centre = std::max<std::size_t>(1, size / 3);
    std::vector<fleet_member> members;
    for (std::size_t i = 0; i < size; ++i) {
      const std::string centre(1, static_cast<char>('a' + i % 3));
      members.push_back(Member(i, centre, i % 2 == 0 ? 0.5 : 0.12));
    }
    std::map<std::string, std::size_t> links;
    std::size_t total = 0;
    for (const fleet_member& self : members) {
      if (self.data_centre == "c") continue;
      relay_peers peers(self);
      peers.SetMembers(members);
      for (const auto& each : peers.TakeDials("c", kStart)) {
        ++links[each->member.name];
        ++total;
      }
    }
    CAPTURE(size);
    const std::size_t even = total / per_centre + 1;
    for (const auto& each : links) CHECK(each.second <= 4 * even);
  }
}

TEST_CASE("what is known of a peer outlives a new list of instances",
          "[relay]") {
  relay_peers peers(Member(0, "a"));
  peers.SetMembers({Member(1, "b"), Member(2, "b")});
  OpenAll(peers, "b", kStart);
  peers.SetMembers({Member(1, "b"), Member(2, "b"), Member(3, "b")});
  CHECK(peers.Choose("b", kStart) != nullptr);
  peers.SetMembers({Member(3, "b")});
  CHECK(peers.Choose("b", kStart) == nullptr);
  // The same name at another address is another process.
  peers.SetMembers({Member(1, "b")});
  OpenAll(peers, "b", kStart);
  fleet_member moved = Member(1, "b");
  moved.control.port = 7;
  peers.SetMembers({moved});
  CHECK(peers.Choose("b", kStart) == nullptr);
}

}  // namespace papayaglade
