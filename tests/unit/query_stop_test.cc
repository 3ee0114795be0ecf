#include <algorithm>
#include <catch2/catch.hpp>
#include <random>

#include "coordination/shutdown_plan.h"
#include "tier_model.h"

namespace papayaglade {

namespace {

using std::chrono::milliseconds;
using namespace std::chrono_literals;

constexpr milliseconds kBound{6000};

shutdown_plan BeginStop(tier_model& tier) {
  const shutdown_plan plan(tier.now, kBound);
  tier.engine.BeginStop(plan, tier.now);
  return plan;
}

// Opens a request and returns why it was refused.
std::optional<error> Refusal(tier_model& tier) {
  const auto opened =
      tier.engine.Open(tier_model::Request(), tier.now, tier.now);
  if (const auto* cause = std::get_if<error>(&opened)) return *cause;
  return std::nullopt;
}

// Lets `count` requests of a workload end after `duration`.
void Learn(tier_model& tier, int count, milliseconds duration) {
  tier.upstreams = [duration](const auto& seen) {
    return Answer(seen, duration);
  };
  for (int i = 0; i < count; ++i) {
    tier.Ask();
    tier.Advance(duration + 1ms);
  }
}

}  // namespace

// Guards against a stop of serve that closes the connection of a request in
// progress without an answer, because its deadline lies beyond the end.
TEST_CASE("a query in progress is answered when a stop needs it", "[stop]") {
  tier_model tier(4);
  tier.Workload().deadline = 60000ms;
  tier.Workload().coverage.minimum = 0.5;
  tier.upstreams =
      [](const sent_attempt& seen) -> decltype(tier.upstreams(seen)) {
    if (seen.attempt.shard >= "s2") return std::nullopt;
    return Answer(seen, 5ms);
  };
  const auto query = tier.Ask();
  tier.Advance(10ms);
  const shutdown_plan plan = BeginStop(tier);
  tier.Advance(kBound);
  REQUIRE(tier.outcomes.count(query) == 1);
  CHECK(tier.settled_at[query] <= plan.AnswerBy());
  const auto& outcome = std::get<answered>(tier.OutcomeOf(query));
  CHECK(outcome.details.coverage == 0.5);
  CHECK(outcome.details.shards[3].outcome == shard_outcome::kLate);
  CHECK(tier.engine.OpenCount() == 0);
}

TEST_CASE("a request that runs once is told unknown when a stop needs it",
          "[stop]") {
  tier_model tier(1);
  tier.Workload().deadline = 60000ms;
  tier.Workload().repeatable = false;
  const auto query = tier.Ask();
  const shutdown_plan plan = BeginStop(tier);
  tier.Advance(kBound);
  REQUIRE(tier.outcomes.count(query) == 1);
  CHECK(tier.settled_at[query] <= plan.AnswerBy());
  CHECK(std::holds_alternative<outcome_unknown>(tier.OutcomeOf(query)));
}

TEST_CASE("a stop does not prolong a query", "[stop]") {
  tier_model tier(1);
  tier.Workload().deadline = 800ms;
  const auto query = tier.Ask();
  const monotonic_time asked = tier.now;
  BeginStop(tier);
  tier.Advance(kBound);
  CHECK(tier.settled_at[query] <= asked + 800ms);
}

TEST_CASE("a stop refuses requests that it cannot surely answer", "[stop]") {
  tier_model tier(1);
  tier.Workload().deadline = 3000ms;
  const shutdown_plan plan = BeginStop(tier);
  CHECK_FALSE(Refusal(tier).has_value());
  tier.now = plan.AnswerBy() - 2900ms;
  const std::optional<error> cause = Refusal(tier);
  REQUIRE(cause.has_value());
  CHECK(cause->kind == error_kind::kUnavailable);
  CHECK(cause->remedy == "nothing ran: ask another instance");
}

TEST_CASE("a stop takes requests that were short so far", "[stop]") {
  tier_model tier(1);
  tier.Workload().deadline = 60000ms;
  Learn(tier, 20, 40ms);
  const shutdown_plan plan = BeginStop(tier);
  tier.now = plan.AnswerBy() - 200ms;
  CHECK_FALSE(Refusal(tier).has_value());
  tier.now = plan.AnswerBy() - 20ms;
  CHECK(Refusal(tier).has_value());
}

TEST_CASE("a stop refuses requests like one that takes long at present",
          "[stop]") {
  tier_model tier(1);
  tier.Workload().deadline = 60000ms;
  Learn(tier, 20, 40ms);
  tier.upstreams = nullptr;
  tier.Ask();
  tier.Advance(1000ms);
  const shutdown_plan plan = BeginStop(tier);
  tier.now = plan.AnswerBy() - 900ms;
  CHECK(Refusal(tier).has_value());
}

// Guards against a request that is owed an answer at the end of a stop,
// whatever its upstreams do and whenever the stop begins.
TEST_CASE("each query is answered once by the time that a stop sets",
          "[stop]") {
  std::mt19937 random(23);
  for (unsigned round = 0; round < 200; ++round) {
    CAPTURE(round);
    tier_model tier(4, round);
    tier.Workload().deadline = milliseconds(500 + random() % 30000);
    tier.Workload().repeatable = round % 3 != 0;
    tier.upstreams =
        [&](const sent_attempt& seen) -> std::optional<planned_result> {
      switch (random() % 5) {
        case 0:
          return std::nullopt;
        case 1:
          return End(shard_status::kLost, shard_reason::kUpstreamError);
        case 2:
          return End(shard_status::kNotRun, shard_reason::kUpstreamRefused);
        default:
          return Answer(seen, milliseconds(random() % 8000));
      }
    };
    std::vector<std::uint64_t> taken{tier.Ask()};
    tier.Advance(milliseconds(random() % 400));
    const shutdown_plan plan = BeginStop(tier);
    while (tier.now < plan.ForcedEnd()) {
      tier.Advance(milliseconds(1 + random() % 400));
      const auto opened =
          tier.engine.Open(tier_model::Request(), tier.now, tier.now);
      const auto* query = std::get_if<std::uint64_t>(&opened);
      if (query == nullptr) continue;
      CHECK(tier.now < plan.AnswerBy());
      taken.push_back(*query);
    }
    for (const std::uint64_t query : taken) {
      REQUIRE(tier.outcomes.count(query) == 1);
      CHECK(tier.settled_at[query] <= plan.AnswerBy());
    }
  }
}

}  // namespace papayaglade
