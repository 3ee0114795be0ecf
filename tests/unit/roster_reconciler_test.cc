#include "coordination/roster_reconciler.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <iostream>
#include <map>
#include <set>

namespace papayaglade {

namespace {

using std::chrono::milliseconds;

// Time until all members know a new roster.
constexpr milliseconds kPropagationDelay{150};

std::vector<assignable_upstream> Upstreams(int count) {
  std::vector<assignable_upstream> upstreams;
  upstreams.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) {
    upstreams.push_back({"service-" + std::to_string(i / 360),
                         "upstream-" + std::to_string(i)});
  }
  return upstreams;
}

std::vector<std::string> Names(int first, int count) {
  std::vector<std::string> names;
  names.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) {
    names.push_back("entry-" + std::to_string(1000 + first + i));
  }
  return names;
}

std::size_t CountMoved(const std::vector<steward_assignment>& before,
                       const std::vector<steward_assignment>& after) {
  std::size_t moved = 0;
  for (std::size_t i = 0; i < before.size(); ++i) {
    if (before[i].steward != after[i].steward) ++moved;
  }
  return moved;
}

std::size_t MaxLoad(const std::vector<steward_assignment>& assignments) {
  std::map<std::string, std::size_t> load;
  std::size_t most = 0;
  for (const auto& each : assignments) {
    most = std::max(most, ++load[each.steward]);
  }
  return most;
}

struct write_counts {
  int writes = 0;
  int conflicts = 0;
};

// Simulates that `count` members notice the death of one more member at the
// same time.
write_counts SimulateDeath(int count) {
  const monotonic_time start{std::chrono::hours(1)};
  roster stored;
  stored.data_centre = "dc";
  stored.epoch = 7;
  stored.configuration_version = 1;
  std::vector<member> reports;
  for (const std::string& name : Names(0, count + 1)) {
    stored.members.push_back({{name, 1}, {}, {}, 1});
    reports.push_back({{name, 1}, {}, member_state::kAlive, 0, start, {}});
  }
  reports.back().state = member_state::kDeadUnproven;
  stored.assignments = AssignStewards(Upstreams(5 * count), Names(0, count + 1),
                                      {}, stored.epoch);
  std::vector<roster_reconciler> reconcilers;
  for (int i = 0; i < count; ++i) {
    reconcilers.emplace_back(stored.members[static_cast<std::size_t>(i)], "dc",
                             stewardship_timing{}, i);
    reconcilers.back().ApplyRoster(stored, start);
    reconcilers.back().SetUpstreams(1, Upstreams(5 * count));
    reconcilers.back().SetMembers(reports);
  }
  write_counts result;
  monotonic_time known_everywhere_at = monotonic_time::max();
  for (milliseconds t{0}; t < milliseconds(10'000); t += milliseconds(10)) {
    const monotonic_time now = start + t;
    const bool all_know = now >= known_everywhere_at;
    for (roster_reconciler& each : reconcilers) {
      if (all_know) each.ApplyRoster(stored, now);
      const auto next = each.NextWrite(now);
      if (!next) continue;
      if (next->epoch == stored.epoch + 1) {
        ++result.writes;
        stored = *next;
        known_everywhere_at = now + kPropagationDelay;
      } else {
        ++result.conflicts;
      }
      each.OnWriteCompleted(false, now);
      each.ApplyRoster(stored, now);
    }
    if (all_know) known_everywhere_at = monotonic_time::max();
  }
  return result;
}

}  // namespace

TEST_CASE("assignments are balanced and change little", "[roster]") {
  const auto upstreams = Upstreams(500);
  const auto before = AssignStewards(upstreams, Names(0, 103), {}, 1);
  const auto joined = AssignStewards(upstreams, Names(0, 104), before, 2);
  const auto left = AssignStewards(upstreams, Names(1, 102), before, 2);
  CHECK(MaxLoad(before) == 5);
  CHECK(MaxLoad(joined) == 5);
  CHECK(CountMoved(before, joined) <= 5);
  CHECK(CountMoved(before, left) <= 5);
  std::set<std::string> stewards;
  for (const auto& each : AssignStewards(Upstreams(6), Names(0, 7), {}, 1)) {
    stewards.insert(each.steward);
  }
  CHECK(stewards.size() == 6);
}

TEST_CASE("only one member writes when many react at the same time",
          "[roster]") {
  for (const int count : {7, 26, 104}) {
    const write_counts result = SimulateDeath(count);
    CHECK(result.writes == 1);
    CHECK(result.conflicts <= 1);
  }
}

TEST_CASE("a suspected member stays in the roster until it is declared dead",
          "[roster]") {
  const monotonic_time start{std::chrono::hours(1)};
  roster stored;
  stored.epoch = 3;
  stored.configuration_version = 1;
  stored.members = {{{"a", 1}, {"127.0.0.1", 1}, {}, 1},
                    {{"b", 2}, {"127.0.0.1", 2}, {}, 1}};
  roster_reconciler reconciler(stored.members[0], "dc", {}, 1);
  reconciler.ApplyRoster(stored, start);
  reconciler.SetUpstreams(1, {});
  member silent{{"b", 2}, {"127.0.0.1", 2}, member_state::kSuspect, 0, start,
                {}};
  reconciler.SetMembers({silent});
  reconciler.NextWrite(start);
  CHECK_FALSE(reconciler.NextWrite(start + std::chrono::hours(1)));
  silent.state = member_state::kDeadUnproven;
  reconciler.SetMembers({silent});
  reconciler.NextWrite(start + std::chrono::hours(1));
  const auto next = reconciler.NextWrite(start + std::chrono::hours(2));
  REQUIRE(next);
  CHECK(next->members.size() == 1);
  CHECK(next->retired.size() == 1);
}

TEST_CASE("measure an assignment and its changes", "[.][measure]") {
  for (const int members : {7, 26, 104}) {
    const auto upstreams = Upstreams(members * 500 / 104);
    const auto before = AssignStewards(upstreams, Names(0, members), {}, 1);
    const auto start = std::chrono::steady_clock::now();
    constexpr int kRuns = 100;
    for (int i = 0; i < kRuns; ++i) {
      AssignStewards(upstreams, Names(0, members), {}, 1);
    }
    const auto took = std::chrono::steady_clock::now() - start;
    const write_counts death = SimulateDeath(members);
    std::set<std::string> asked;
    for (const auto& each : before) {
      if (std::stoi(each.upstream.substr(9)) < 360) asked.insert(each.steward);
    }
    std::cout
        << members << " members, " << upstreams.size() << " upstreams: "
        << std::chrono::duration_cast<std::chrono::microseconds>(took).count() /
               kRuns
        << " us an assignment, moved on join "
        << CountMoved(before, AssignStewards(upstreams, Names(0, members + 1),
                                             before, 2))
        << ", on leave "
        << CountMoved(before, AssignStewards(upstreams, Names(1, members - 1),
                                             before, 2))
        << ", stewards of the first service " << asked.size() << ", on a death "
        << death.writes << " writes " << death.conflicts << " conflicts\n";
  }
}

}  // namespace papayaglade
