#include "coordination/membership.h"

#include <algorithm>
#include <catch2/catch.hpp>

#include "virtual_group.h"

namespace papayaglade {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kSeed = 20261204;
constexpr int kUpdates = 40;
constexpr milliseconds kJoinTimeout{5000};
constexpr milliseconds kProofTimeout{1000};
// Three seconds from the freeze until the member counts as dead, plus a probe
// round.
constexpr milliseconds kSuspicionTimeout{5000};

std::string Name(int number) { return "entry-" + std::to_string(number); }

// Starts `count` instances that each get a hint of only the first one.
void StartGroup(virtual_group& group, int count) {
  for (int i = 0; i < count; ++i) {
    group.Start(Name(i), "kigali");
    if (i > 0) group.Hint(Name(i), Name(0));
  }
  const auto joined = [&group, count] {
    for (int i = 0; i < count; ++i) {
      if (!group.AllBelieve(Name(i), member_state::kAlive)) return false;
    }
    return true;
  };
  REQUIRE(group.AdvanceUntil(joined, kJoinTimeout) < kJoinTimeout);
}

auto AllBelieveThat(virtual_group& group, const std::string& name,
                    member_state state) {
  return [&group, name, state] { return group.AllBelieve(name, state); };
}

}  // namespace

TEST_CASE("a refused connection proves that a killed member has terminated",
          "[membership]") {
  const int count = GENERATE(2, 7, 26, 104);
  virtual_group group(kSeed);
  StartGroup(group, count);
  group.Kill(Name(1));
  CHECK(group.AdvanceUntil(
            AllBelieveThat(group, Name(1), member_state::kDeadProven),
            kProofTimeout) < kProofTimeout);
}

TEST_CASE("a frozen member is never proven dead and refutes its suspicion",
          "[membership]") {
  const int count = GENERATE(2, 7, 104);
  virtual_group group(kSeed);
  StartGroup(group, count);
  group.Freeze(Name(1));
  group.Advance(milliseconds(1400));
  CHECK_FALSE(group.AllBelieve(Name(1), member_state::kDeadUnproven));
  const auto dead = AllBelieveThat(group, Name(1), member_state::kDeadUnproven);
  CHECK(group.AdvanceUntil(dead, kSuspicionTimeout) < kSuspicionTimeout);
  group.Advance(seconds(20));
  CHECK(group.AllBelieve(Name(1), member_state::kDeadUnproven));
  group.Thaw(Name(1));
  const auto alive = AllBelieveThat(group, Name(1), member_state::kAlive);
  CHECK(group.AdvanceUntil(alive, kSuspicionTimeout) < kSuspicionTimeout);
  group.Advance(seconds(5));
  // The thawed member does not suspect the others because of its own pause.
  for (const member& each : group.At(Name(1)).members->Members()) {
    CHECK(each.state == member_state::kAlive);
  }
}

TEST_CASE("an instance does not suspect others after its own pause",
          "[membership]") {
  membership paused({{"entry-1", 1}, {}, member_state::kAlive, 0}, "kigali", {},
                    kSeed);
  monotonic_time now{seconds(1)};
  const member_update other{{"entry-2", 1}, {}, member_state::kAlive, 0};
  paused.OnMessage(other.identity, member_list{false, "kigali", {other}}, now);
  for (const monotonic_time end = now + milliseconds(300); now < end;) {
    now += milliseconds(50);
    paused.OnTick(now);
  }
  now += seconds(30);
  paused.OnTick(now);
  CHECK(paused.Members().at(0).state == member_state::kAlive);
}

TEST_CASE("a broken path between two members makes neither of them dead",
          "[membership]") {
  virtual_group group(kSeed);
  StartGroup(group, 7);
  group.SetCut([](const std::string& a, const std::string& b) {
    return a == Name(1) && b == Name(2);
  });
  for (int step = 0; step < 600; ++step) {
    group.Advance(milliseconds(50));
    for (int i : {1, 2}) {
      const auto dead =
          AllBelieveThat(group, Name(i), member_state::kDeadUnproven);
      REQUIRE_FALSE(dead());
      REQUIRE(group.Belief(Name(0), Name(i)) != member_state::kDeadUnproven);
    }
  }
  CHECK(group.AllBelieve(Name(1), member_state::kAlive));
}

TEST_CASE("a restarted member replaces its old process", "[membership]") {
  virtual_group group(kSeed);
  StartGroup(group, 7);
  group.Freeze(Name(1));
  group.Advance(seconds(10));
  group.Start(Name(1), "kigali");
  group.Hint(Name(1), Name(3));
  const auto alive = AllBelieveThat(group, Name(1), member_state::kAlive);
  CHECK(group.AdvanceUntil(alive, kSuspicionTimeout) < kSuspicionTimeout);
  // A late update about the old process changes nothing.
  const member_update stale{
      {Name(1), 2}, group.At(Name(1)).address, member_state::kDeadProven, 99};
  group.At(Name(0)).members->OnMessage(group.At(Name(2)).identity,
                                       probe{1, 0, {stale}}, group.Now());
  group.Advance(seconds(2));
  CHECK(group.AllBelieve(Name(1), member_state::kAlive));
}

TEST_CASE("the older of two processes learns that it is superseded",
          "[membership]") {
  const member_update self{{"entry-1", 5}, {}, member_state::kAlive, 0};
  membership older(self, "kigali", {}, kSeed);
  older.OnMessage({"entry-2", 1},
                  probe{1, 0, {{{"entry-1", 6}, {}, member_state::kAlive, 0}}},
                  monotonic_time{seconds(1)});
  CHECK(older.IsSuperseded());
}

TEST_CASE("the two sides of a healed partition find each other again",
          "[membership]") {
  virtual_group group(kSeed);
  StartGroup(group, 8);
  group.SetCut([](const std::string& a, const std::string& b) {
    return (a < Name(4)) != (b < Name(4));
  });
  group.Advance(seconds(60));
  CHECK(group.Belief(Name(0), Name(5)) == member_state::kDeadUnproven);
  CHECK(group.Belief(Name(5), Name(0)) == member_state::kDeadUnproven);
  group.SetCut(nullptr);
  const auto healed = [&group] {
    for (int i = 0; i < 8; ++i) {
      if (!group.AllBelieve(Name(i), member_state::kAlive)) return false;
    }
    return true;
  };
  CHECK(group.AdvanceUntil(healed, seconds(30)) < seconds(30));
}

TEST_CASE("a list that names a dead member does not revive it",
          "[membership]") {
  virtual_group group(kSeed);
  StartGroup(group, 3);
  group.Kill(Name(2));
  group.Advance(seconds(120));
  CHECK(group.Belief(Name(0), Name(2)) == member_state::kHinted);
  group.Hint(Name(0), Name(2));
  group.Advance(seconds(2));
  CHECK(group.Belief(Name(0), Name(2)) == member_state::kDeadProven);
}

TEST_CASE("a leaving member is known to have left and is not suspected",
          "[membership]") {
  virtual_group group(kSeed);
  StartGroup(group, 26);
  group.At(Name(1)).members->Leave(group.Now());
  const auto left = AllBelieveThat(group, Name(1), member_state::kLeft);
  CHECK(group.AdvanceUntil(left, seconds(3)) < seconds(3));
  group.Advance(seconds(10));
  CHECK(group.AllBelieve(Name(1), member_state::kLeft));
}

TEST_CASE("member updates result in the same table in any order",
          "[membership]") {
  std::mt19937 random(kSeed);
  std::vector<member_update> updates;
  updates.reserve(kUpdates);
  for (int i = 0; i < kUpdates; ++i) {
    updates.push_back({{Name(static_cast<int>(random() % 3)), random() % 3},
                       {},
                       static_cast<member_state>(random() % 5),
                       static_cast<std::uint32_t>(random() % 3)});
  }
  std::vector<member> first;
  for (int order = 0; order < 200; ++order) {
    member_table table;
    for (const member_update& each : updates) table.Apply(each, {});
    if (order == 0) first = table.List();
    REQUIRE(table.List().size() == first.size());
    for (std::size_t i = 0; i < first.size(); ++i) {
      const member known = table.List()[i];
      CHECK(known.identity == first[i].identity);
      CHECK(known.state == first[i].state);
    }
    std::shuffle(updates.begin(), updates.end(), random);
  }
}

}  // namespace papayaglade
