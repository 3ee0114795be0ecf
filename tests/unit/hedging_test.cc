#include <algorithm>
#include <catch2/catch.hpp>
#include <iostream>
#include <random>

#include "tier_model.h"

namespace papayaglade {

namespace {

using std::chrono::microseconds;
using namespace std::chrono_literals;

struct hedging_report {
  microseconds p99{0};
  double extra_load = 0;
  double coverage = 0;
  microseconds delay{0};
};

// One in a hundred replies takes 20 times as long as the others.
hedging_report RunStragglers(bool hedging, double percentile, int shards) {
  constexpr int kQueries = 3000;
  constexpr int kWarmUp = 200;
  tier_model tier(shards, 11);
  tier.Workload().hedging = hedging;
  tier.Workload().hedge_percentile = percentile;
  std::mt19937_64 random(20261204);
  std::uniform_int_distribution<int> spread(2000, 4000);
  tier.upstreams = [&](const sent_attempt& seen) {
    const int slowdown = random() % 100 == 0 ? 20 : 1;
    return Answer(seen, microseconds(spread(random) * slowdown));
  };
  std::vector<microseconds> times;
  hedging_report report;
  for (int i = 0; i < kQueries; ++i) {
    const monotonic_time start = tier.now;
    const auto query = tier.Ask();
    tier.Advance(200ms);
    if (i < kWarmUp) continue;
    times.push_back(std::chrono::duration_cast<microseconds>(
        tier.settled_at.at(query) - start));
    report.coverage +=
        std::get<answered>(tier.outcomes.at(query)).details.coverage;
  }
  report.delay =
      tier.engine.Workloads().at(0).hedge_delay.value_or(microseconds(0));
  report.coverage /= static_cast<double>(times.size());
  std::sort(times.begin(), times.end());
  report.p99 = times[times.size() * 99 / 100];
  report.extra_load = static_cast<double>(tier.totals.hedges) /
                      static_cast<double>(tier.totals.first_attempts);
  return report;
}

}  // namespace

TEST_CASE("a slow shard is hedged and the slower attempt is cancelled") {
  tier_model tier(2);
  tier.upstreams = [](const auto& seen) { return Answer(seen, 2ms); };
  for (int i = 0; i < 200; ++i) {
    tier.Ask();
    tier.Advance(5ms);
  }
  tier.sent.clear();
  tier.upstreams = [](const sent_attempt& seen) {
    const bool slow = seen.attempt.upstream == "u0-a";
    const bool medium = seen.attempt.shard == "s1";
    return Answer(seen, slow ? 300ms : medium ? 10ms : 2ms);
  };
  const auto query = tier.Ask();
  tier.Advance(5ms);
  // The slower attempt is cancelled while the query still waits for its other
  // shard.
  CHECK(tier.outcomes.count(query) == 0);
  CHECK(tier.cancelled.size() == 1);
  tier.Advance(20ms);
  REQUIRE(tier.sent.size() >= 3);
  CHECK(tier.sent[2].attempt.upstream == "u0-b");
  REQUIRE(tier.outcomes.count(query) == 1);
  const auto& answer = std::get<answered>(tier.outcomes.at(query));
  CHECK(answer.details.shards[0].upstream == "u0-b");
  CHECK(tier.cancelled.front() == tier.sent[0].attempt.attempt_id);
}

TEST_CASE("hedging cuts the p99 to a third with at most 5 % extra load") {
  const int shards = GENERATE(40, 360);
  const hedging_report plain = RunStragglers(false, 0.97, shards);
  const hedging_report hedged = RunStragglers(true, 0.97, shards);
  INFO("p99 " << plain.p99.count() << " us, hedged " << hedged.p99.count());
  CHECK(hedged.p99 * 3 <= plain.p99);
  CHECK(hedged.extra_load <= 0.05);
  CHECK(hedged.coverage == 1.0);
}

TEST_CASE("attempts cancelled after a hedge still count as slow") {
  CHECK(RunStragglers(true, 0.995, 40).delay > 5ms);
}

TEST_CASE("the hedge delay stays near the median when many answers are slow") {
  hedge_estimator times;
  for (int i = 0; i < 1000; ++i) times.AddSample(i % 10 == 0 ? 200ms : 10ms);
  CHECK(times.Percentile(0.98) > 100ms);
  CHECK(times.Delay(0.98) < 40ms);
}

TEST_CASE("figures of hedging by percentile", "[.figures]") {
  for (const int shards : {40, 360}) {
    const hedging_report plain = RunStragglers(false, 0.99, shards);
    std::cout << shards << " shards, none: p99 " << plain.p99.count()
              << " us\n";
    for (const double percentile : {0.90, 0.95, 0.97, 0.98, 0.99, 0.995}) {
      const hedging_report hedged = RunStragglers(true, percentile, shards);
      std::cout << shards << " shards, " << percentile << ": p99 "
                << hedged.p99.count() << " us, extra " << hedged.extra_load
                << ", coverage " << hedged.coverage << "\n";
    }
  }
}

}  // namespace papayaglade
