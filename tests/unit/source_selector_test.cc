#include "coordination/source_selector.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace papayaglade {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kStep{100};
constexpr milliseconds kReportInterval{400};
// Maximum delay of a change when the sources of an instance fail together.
constexpr milliseconds kMaxChangeDelay{2500};

// Maximum time for which a starting instance may know nothing of the store.
constexpr milliseconds kMaxStartupDelay{1000};

/// Simulates instances that follow each other, in virtual time and without a
/// network.
class group {
 public:
  group(std::size_t instances, std::size_t data_centres) {
    for (std::size_t i = 0; i < instances; ++i) {
      const std::string name = "entry-" + std::to_string(i);
      members_.push_back({name,
                          "dc-" + std::to_string(i % data_centres),
                          {"10.0.0.1", static_cast<std::uint16_t>(i + 1)},
                          i < 4 ? 0.5 : 0.25});
    }
    for (const fleet_member& each : members_) Start(each.name);
  }

  void Start(const std::string& name) {
    const auto self = std::find_if(
        members_.begin(), members_.end(),
        [&](const fleet_member& each) { return each.name == name; });
    node& started = nodes_[name];
    started = node();
    started.choice = std::make_unique<source_selector>(*self, true);
    started.choice->Start(now_);
    started.choice->SetMembers(members_);
    started.uncovered_since = now_;
  }

  void Kill(const std::string& name) {
    nodes_[name].up = false;
    for (auto& each : nodes_) {
      if (each.second.sources.erase(name) != 0 && each.second.up) {
        each.second.choice->OnClosed(name, now_);
      }
    }
  }

  void Freeze(const std::string& name, bool frozen) {
    nodes_[name].frozen = frozen;
  }

  void CutFromStore(const std::string& name, bool cut) {
    nodes_[name].store = !cut;
  }

  void Run(milliseconds duration) {
    const monotonic_time end = now_ + duration;
    while (now_ < end) Step();
  }

  void Step() {
    now_ += kStep;
    for (auto& each : nodes_) {
      node& own = each.second;
      if (!own.up || own.frozen) continue;
      own.choice->SetStoreReachable(own.store || !own.watching, now_);
      const auto changes = own.choice->UpdateLinks(now_);
      for (const std::string& closed : changes.close) own.sources.erase(closed);
      for (const fleet_member& dialled : changes.dial) {
        const auto target = nodes_.find(dialled.name);
        if (target == nodes_.end() || !target->second.up) {
          own.choice->OnClosed(dialled.name, now_);
        } else {
          own.sources.insert(dialled.name);
        }
      }
      own.watching = own.choice->ShouldWatchStore(now_);
    }
    for (auto& each : nodes_) Report(each.second);
    for (auto& each : nodes_) RecordCoverage(each.second);
  }

  std::set<std::string> WatchingInstances() const {
    std::set<std::string> result;
    for (const auto& each : nodes_) {
      if (each.second.up && each.second.watching) result.insert(each.first);
    }
    return result;
  }

  /// Returns the longest time for which an instance that could reach the store
  /// would have missed a change there.
  milliseconds MaxUncovered() const { return max_uncovered_; }
  std::size_t Size() const { return members_.size(); }

 private:
  struct node {
    std::unique_ptr<source_selector> choice;
    std::set<std::string> sources;
    bool up = true;
    bool frozen = false;
    bool store = true;
    bool watching = true;
    monotonic_time uncovered_since;
  };

  static source_state StateOf(const node& node) {
    if (!node.watching) return source_state::kFollowing;
    return node.store ? source_state::kWatching : source_state::kLost;
  }

  void Report(node& own) {
    if (!own.up || own.frozen) return;
    const bool due =
        now_.time_since_epoch() % kReportInterval == milliseconds(0);
    if (!due) return;
    for (const std::string& name : own.sources) {
      const node& source = nodes_[name];
      if (!source.up || source.frozen) continue;
      own.choice->OnReport(name, StateOf(source), now_);
    }
  }

  bool IsCovered(const node& own) {
    if (own.watching && own.store) return true;
    return std::any_of(own.sources.begin(), own.sources.end(),
                       [&](const std::string& name) {
                         const node& source = nodes_[name];
                         return source.up && !source.frozen &&
                                StateOf(source) == source_state::kWatching;
                       });
  }

  void RecordCoverage(node& own) {
    if (!own.up || own.frozen || !own.store || IsCovered(own)) {
      own.uncovered_since = now_;
    }
    max_uncovered_ = std::max(
        max_uncovered_,
        std::chrono::duration_cast<milliseconds>(now_ - own.uncovered_since));
  }

  std::vector<fleet_member> members_;
  std::map<std::string, node> nodes_;
  monotonic_time now_{std::chrono::hours(1)};
  milliseconds max_uncovered_{0};
};

}  // namespace

TEST_CASE("two instances of each data centre watch the store", "[sources]") {
  for (const std::size_t data_centres : {1U, 3U, 5U}) {
    for (const std::size_t instances : {20U, 59U, 77U, 520U}) {
      group tier(instances, data_centres);
      tier.Run(milliseconds(8000));
      INFO(instances << " in " << data_centres);
      CHECK(tier.WatchingInstances().size() == 2 * data_centres);
      CHECK(tier.MaxUncovered() <= kMaxStartupDelay);
    }
  }
}

// Guards against a slow start after all instances lost power: the two that are
// to watch the store must not wait for others to register.
TEST_CASE("a restarted instance among the first two watches at once",
          "[sources]") {
  const monotonic_time start{std::chrono::hours(1)};
  const fleet_member self{"a", "dc-1", {"10.0.0.1", 1}, 0.5};
  const fleet_member other{"b", "dc-1", {"10.0.0.2", 1}, 0.25};
  source_selector restarted(self, true);
  restarted.Start(start);
  CHECK_FALSE(restarted.ShouldWatchStore(start));
  restarted.SetMembers({self, other});
  CHECK(restarted.ShouldWatchStore(start + milliseconds(10)));
  source_selector fresh(self, true);
  fresh.Start(start);
  fresh.SetMembers({other});
  CHECK_FALSE(fresh.ShouldWatchStore(start + milliseconds(10)));
  fresh.SetMembers({self, other});
  CHECK(fresh.ShouldWatchStore(start + milliseconds(400)));
  CHECK(fresh.ShouldWatchStore(start + milliseconds(800)));
}

TEST_CASE("the largest instances are followed", "[sources]") {
  group tier(20, 2);
  tier.Run(milliseconds(8000));
  CHECK(tier.WatchingInstances() ==
        std::set<std::string>{"entry-0", "entry-1", "entry-2", "entry-3"});
}

TEST_CASE("a failed watcher is replaced until it returns", "[sources]") {
  group tier(20, 1);
  tier.Run(milliseconds(8000));
  const auto before = tier.WatchingInstances();
  const std::string lost = *before.begin();
  tier.Kill(lost);
  tier.Run(milliseconds(12000));
  CHECK(tier.WatchingInstances().size() == 2);
  CHECK(tier.WatchingInstances().count(lost) == 0);
  tier.Start(lost);
  tier.Run(milliseconds(20000));
  CHECK(tier.WatchingInstances() == before);
}

// Guards against missing changes when both sources of many followers freeze at
// the same time without closing connections.
TEST_CASE("followers of frozen sources watch the store in time", "[sources]") {
  group tier(40, 2);
  tier.Run(milliseconds(8000));
  for (const std::string& each : tier.WatchingInstances())
    tier.Freeze(each, true);
  tier.Run(milliseconds(6000));
  CHECK(tier.MaxUncovered() <= kMaxChangeDelay);
}

// Guards against missing changes when the store rejects the watching instances
// and serves all others.
TEST_CASE("followers of sources that lost the store watch it themselves",
          "[sources]") {
  group tier(40, 2);
  tier.Run(milliseconds(8000));
  for (const std::string& each : tier.WatchingInstances()) {
    tier.CutFromStore(each, true);
  }
  tier.Run(milliseconds(6000));
  CHECK(tier.MaxUncovered() <= kMaxChangeDelay);
}

TEST_CASE("an instance that lost the store finds one that watches it",
          "[sources]") {
  source_selector choice({"a", "dc-1", {"10.0.0.9", 1}, 0}, false);
  const monotonic_time start{std::chrono::hours(1)};
  choice.SetMembers({{"b", "dc-1", {"10.0.0.1", 1}, 0},
                     {"c", "dc-2", {"10.0.0.2", 1}, 0},
                     {"d", "dc-2", {"", 0}, 0}});
  CHECK(choice.UpdateLinks(start).dial.empty());
  choice.SetStoreReachable(false, start);
  const auto changes = choice.UpdateLinks(start + milliseconds(400));
  REQUIRE(changes.dial.size() == 2);
  CHECK(changes.dial[0].name == "b");
  CHECK(changes.dial[1].name == "c");
  choice.OnReport("c", source_state::kWatching, start + milliseconds(500));
  CHECK(choice.WatchingSourceCount(start + milliseconds(500)) == 1);
  CHECK(choice.ShouldWatchStore(start + milliseconds(500)));
  // Once the store answers again, no source is needed.
  choice.SetStoreReachable(true, start + milliseconds(600));
  CHECK(choice.UpdateLinks(start + milliseconds(600)).close.size() == 2);
}

TEST_CASE("the link to an instance that is no longer listed is closed",
          "[sources]") {
  source_selector choice({"a", "dc-1", {"10.0.0.9", 1}, 0}, false);
  const monotonic_time start{std::chrono::hours(1)};
  choice.SetMembers({{"seed", "", {"10.0.0.1", 1}, 0}});
  choice.SetStoreReachable(false, start);
  REQUIRE(choice.UpdateLinks(start + milliseconds(400)).dial.size() == 1);
  choice.SetMembers({{"b", "dc-1", {"10.0.0.1", 1}, 0}});
  const auto changes = choice.UpdateLinks(start + milliseconds(500));
  CHECK(changes.close == std::vector<std::string>{"seed"});
  REQUIRE(changes.dial.size() == 1);
  CHECK(changes.dial[0].name == "b");
}

TEST_CASE("changes are never late for long, whichever instances fail",
          "[sources]") {
  for (std::uint32_t seed = 1; seed <= 40; ++seed) {
    std::mt19937 random(seed);
    group tier(24, 3);
    tier.Run(milliseconds(6000));
    std::map<std::string, int> faults;
    for (int i = 0; i < 60; ++i) {
      const std::string name =
          "entry-" + std::to_string(random() % tier.Size());
      int& fault = faults[name];
      if (fault == 1) tier.Start(name);
      if (fault == 2) tier.Freeze(name, false);
      if (fault == 3) tier.CutFromStore(name, false);
      fault = fault != 0 ? 0 : static_cast<int>(1 + random() % 3);
      if (fault == 1) tier.Kill(name);
      if (fault == 2) tier.Freeze(name, true);
      if (fault == 3) tier.CutFromStore(name, true);
      tier.Run(milliseconds(100 * (random() % 20)));
    }
    INFO("seed " << seed);
    CHECK(tier.MaxUncovered() <= kMaxChangeDelay);
  }
}

}  // namespace papayaglade
