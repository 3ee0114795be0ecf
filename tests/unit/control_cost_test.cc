#include <malloc.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdio>
#include <ctime>

#include "coordination/rendezvous.h"
#include "virtual_group.h"

namespace papayaglade {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kSeed = 20261204;
constexpr int kServices = 54;
constexpr std::size_t kGateways = 2;
constexpr seconds kSettleTime{90};
constexpr seconds kMeasuredTime{60};
constexpr std::size_t kLargeObject = 1000 * 1000;

std::string Name(int centre, int number) {
  return "entry-" + std::to_string(centre) + "-" + std::to_string(number);
}

std::string CentreName(int number) {
  return "centre-" + std::to_string(number);
}

struct fleet {
  int centres = 1;
  int members = 2;

  int Size() const { return centres * members; }
};

void Start(virtual_group& group, const fleet& size) {
  for (int centre = 0; centre < size.centres; ++centre) {
    for (int i = 0; i < size.members; ++i) {
      group.Start(Name(centre, i), CentreName(centre));
      for (int hint = std::max(0, i - 8); hint < i; ++hint) {
        group.Hint(Name(centre, i), Name(centre, hint));
      }
    }
  }
}

void AssignGateways(virtual_group& group, const fleet& size) {
  for (auto& each : group.All()) {
    std::vector<std::string> gateways;
    for (int centre = 0; centre < size.centres; ++centre) {
      if (CentreName(centre) == each.second.data_centre) continue;
      std::vector<std::string> names;
      names.reserve(static_cast<std::size_t>(size.members));
      for (int i = 0; i < size.members; ++i) names.push_back(Name(centre, i));
      const auto chosen = RendezvousPick(each.first, names, kGateways);
      gateways.insert(gateways.end(), chosen.begin(), chosen.end());
    }
    group.SetGateways(each.first, gateways);
  }
}

// Offers the number of objects expected in two years, so that digests have a
// realistic size.
void OfferObjects(virtual_group& group, const fleet& size) {
  for (int i = 0; i < kServices; ++i) {
    group.Offer(Name(0, 0),
                {{object_kind::kSnapshots, "service-" + std::to_string(i)},
                 1000,
                 "{}"});
  }
  for (int centre = 0; centre < size.centres; ++centre) {
    group.Offer(Name(0, 0),
                {{object_kind::kRoster, CentreName(centre)}, 1000, "{}"});
  }
  group.Offer(Name(0, 0), ConfigurationOf(1));
}

traffic Total(virtual_group& group) {
  traffic total;
  for (const auto& each : group.All()) {
    total.messages += each.second.sent.messages;
    total.bytes += each.second.sent.bytes;
  }
  return total;
}

double Seconds(milliseconds time) {
  return std::chrono::duration<double>(time).count();
}

void MeasureSteady(virtual_group& group, const fleet& size) {
  const traffic before = Total(group);
  const std::clock_t start = std::clock();
  group.Advance(kMeasuredTime);
  const double busy =
      static_cast<double>(std::clock() - start) / CLOCKS_PER_SEC;
  const traffic after = Total(group);
  const double instance_seconds = static_cast<double>(size.Size()) *
                                  static_cast<double>(kMeasuredTime.count());
  const double sent =
      static_cast<double>(after.bytes - before.bytes) / instance_seconds;
  std::printf(
      "steady %dx%d: messages/s sent %.2f, bytes/s sent+received %.0f, "
      "core share %.4f %%\n",
      size.centres, size.members,
      static_cast<double>(after.messages - before.messages) / instance_seconds,
      2 * sent, 100 * busy / instance_seconds);
  CHECK(2 * sent < 19'000);
  CHECK(busy / instance_seconds < 0.037);
}

void MeasureChange(virtual_group& group, const fleet& size) {
  for (const std::size_t bytes : {std::size_t{100}, kLargeObject}) {
    const traffic before = Total(group);
    const std::uint64_t version = bytes == kLargeObject ? 3 : 2;
    group.Offer(Name(0, 1), ConfigurationOf(version, bytes));
    const milliseconds taken = group.AdvanceUntil(
        [&group, version] { return group.AllHold(version); }, seconds(30));
    const double each =
        static_cast<double>(Total(group).bytes - before.bytes) / size.Size();
    std::printf(
        "change %dx%d of %zu B: in force everywhere after %.2f s, "
        "%.0f B sent by each\n",
        size.centres, size.members, bytes, Seconds(taken), each);
    CHECK(taken < seconds(7));
  }
}

struct detection {
  milliseconds killed{0};
  milliseconds frozen{0};
};

detection MeasureDetection(const fleet& size, std::uint64_t seed) {
  virtual_group group(seed);
  Start(group, size);
  group.Advance(seconds(20));
  const auto believed = [&group](const std::string& name, member_state state) {
    return [&group, name, state] { return group.AllBelieve(name, state); };
  };
  detection found;
  group.Freeze(Name(0, 0));
  found.frozen = group.AdvanceUntil(
      believed(Name(0, 0), member_state::kDeadUnproven), seconds(30));
  group.Kill(Name(0, 1));
  found.killed = group.AdvanceUntil(
      believed(Name(0, 1), member_state::kDeadProven), seconds(30));
  return found;
}

}  // namespace

TEST_CASE("cost of membership and gossip per instance", "[.measure]") {
  const fleet size = GENERATE(fleet{1, 2}, fleet{1, 7}, fleet{1, 26},
                              fleet{1, 104}, fleet{5, 104});
  const std::size_t heap = mallinfo2().uordblks;
  virtual_group group(kSeed);
  group.MeasureBytes();
  Start(group, size);
  AssignGateways(group, size);
  OfferObjects(group, size);
  group.Advance(kSettleTime);
  const double state = static_cast<double>(mallinfo2().uordblks - heap) /
                       static_cast<double>(size.Size());
  std::printf("state %dx%d: %.0f B an instance, fake links included\n",
              size.centres, size.members, state);
  MeasureSteady(group, size);
  MeasureChange(group, size);
}

TEST_CASE("time until all members know of a lost member", "[.measure]") {
  const int members = GENERATE(3, 7, 26, 104);
  detection worst;
  milliseconds frozen{0};
  constexpr int kRuns = 20;
  for (int run = 0; run < kRuns; ++run) {
    const detection found = MeasureDetection({1, members}, kSeed + run);
    worst.killed = std::max(worst.killed, found.killed);
    worst.frozen = std::max(worst.frozen, found.frozen);
    frozen += found.frozen;
  }
  std::printf(
      "detection 1x%d: killed at most %.2f s, frozen mean %.2f s, at "
      "most %.2f s\n",
      members, Seconds(worst.killed), Seconds(frozen) / kRuns,
      Seconds(worst.frozen));
}

}  // namespace papayaglade
