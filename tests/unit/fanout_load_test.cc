#include <catch2/catch.hpp>

#include "fanout_model.h"

namespace papayaglade {

namespace {

constexpr std::uint32_t kSeeds = 5;

/// Mean outcome over the seeds; `in_time` is a share of the requests.
struct mean_outcome {
  double in_time = 0;
  double coverage = 0;
  double repeat_share = 0;
};

mean_outcome MeanOutcome(fanout_scenario scenario) {
  mean_outcome mean;
  for (scenario.seed = 1; scenario.seed <= kSeeds; ++scenario.seed) {
    const fanout_outcome each = SimulateFanouts(scenario);
    mean.in_time += static_cast<double>(each.in_time) /
                    static_cast<double>(scenario.requests) / kSeeds;
    mean.coverage += each.coverage / kSeeds;
    mean.repeat_share += each.repeat_share / kSeeds;
  }
  return mean;
}

// The whole tier serves 40 requests per second, whatever the number of
// instances.
fanout_scenario ScenarioWith(std::size_t instances) {
  fanout_scenario scenario;
  scenario.instances = instances;
  scenario.request_interval = std::chrono::milliseconds(25 * instances);
  return scenario;
}

}  // namespace

// Guards against spending the repeat budget on hedges that are not needed. One
// instance of 60 gets a request every 1.5 s and may send three repeats in 10 s;
// after a third of the requests, 15 % of the upstreams become ten times slower.
// With enough budget, a tenth of the first attempts would be hedged; repeats
// must add little load.
TEST_CASE("scarce repeats are reserved for requests that would be late",
          "[load]") {
  const mean_outcome outcome = MeanOutcome(ScenarioWith(60));
  CHECK(outcome.repeat_share <= 0.05);
  CHECK(outcome.in_time >= 0.95);
}

TEST_CASE("a slow upstream is remembered until the next request to it",
          "[load]") {
  const mean_outcome outcome = MeanOutcome(ScenarioWith(60));
  CHECK(outcome.in_time >= 0.99);
  CHECK(outcome.coverage >= 0.99);
}

TEST_CASE("with ample repeats slow upstreams make no answer late", "[load]") {
  const mean_outcome outcome = MeanOutcome(ScenarioWith(6));
  CHECK(outcome.in_time >= 0.99);
  CHECK(outcome.coverage >= 0.99);
}

// One of two upstreams of each shard is out of reach, as when its data centre
// is cut off. The other one is busy most of the time and pauses now and then,
// so that requests queue there which end too late for their callers.
TEST_CASE("requests that nobody awaits do not hold up a busy upstream",
          "[load]") {
  fanout_scenario scenario;
  scenario.instances = 1;
  scenario.shards = 20;
  scenario.upstreams_per_shard = 1;
  scenario.requests = 1500;
  scenario.request_interval = std::chrono::milliseconds(12);
  scenario.mean_service_time = std::chrono::milliseconds(28);
  scenario.target = std::chrono::milliseconds(200);
  scenario.deadline = std::chrono::milliseconds(3000);
  scenario.minimum_coverage = 0.89;
  scenario.slow_share = 0;
  scenario.slots = 3;
  scenario.connections = 30;
  scenario.pause = std::chrono::milliseconds(250);
  const mean_outcome outcome = MeanOutcome(scenario);
  CHECK(outcome.in_time >= 0.99);
}

}  // namespace papayaglade
