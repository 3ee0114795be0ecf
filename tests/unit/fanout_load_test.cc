#include <catch2/catch.hpp>

#include "fanout_model.h"

namespace papayaglade {

namespace {

constexpr std::uint32_t kSeeds = 5;

/// Means over some seeds; `in_time` is a share.
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

// The whole tier serves 40 requests a second, however many instances it has.
fanout_scenario ScenarioWith(std::size_t instances) {
  fanout_scenario scenario;
  scenario.instances = instances;
  scenario.request_interval = std::chrono::milliseconds(25 * instances);
  return scenario;
}

}  // namespace

// Pattern: one instance of 60 sees a request in 1.5 s and may repeat three
// times in 10 s; from a moment on 15 % of the upstreams are ten times slower.
// A tenth of first attempts would be hedged if the budget had room; the
// product's own promise is that repeats add little load.
TEST_CASE("scarce repeats are kept for what would be late", "[load]") {
  const mean_outcome outcome = MeanOutcome(ScenarioWith(60));
  CHECK(outcome.repeat_share <= 0.05);
  CHECK(outcome.in_time >= 0.95);
}

TEST_CASE("a slow upstream is remembered until it would be asked again",
          "[load]") {
  const mean_outcome outcome = MeanOutcome(ScenarioWith(60));
  CHECK(outcome.in_time >= 0.99);
  CHECK(outcome.coverage >= 0.99);
}

TEST_CASE("with plenty of repeats slow upstreams cost no answer its time",
          "[load]") {
  const mean_outcome outcome = MeanOutcome(ScenarioWith(6));
  CHECK(outcome.in_time >= 0.99);
  CHECK(outcome.coverage >= 0.99);
}

}  // namespace papayaglade
