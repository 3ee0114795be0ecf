#include <algorithm>
#include <catch2/catch.hpp>

#include "tier_model.h"

namespace papayaglade {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using namespace std::chrono_literals;

const answered& Answered(const tier_model& tier, std::uint64_t query) {
  REQUIRE(std::holds_alternative<answered>(tier.OutcomeOf(query)));
  return std::get<answered>(tier.OutcomeOf(query));
}

bool WasCancelled(const tier_model& tier, std::uint64_t attempt) {
  return std::count(tier.cancelled.begin(), tier.cancelled.end(), attempt) > 0;
}

}  // namespace

TEST_CASE("the own data centre is asked first, with one message per steward") {
  tier_model tier(40);
  tier.upstreams = [](const auto& seen) { return Answer(seen, 1ms); };
  const auto query = tier.Ask();
  REQUIRE(tier.sent.size() == 40);
  CHECK(tier.batches == 1);
  for (const auto& each : tier.sent) CHECK(each.steward == "sa");
  tier.Advance(2ms);
  const answered& answer = Answered(tier, query);
  CHECK(answer.details.coverage == 1.0);
  CHECK(answer.hits.size() == 10);
  CHECK(answer.details.shards[3].upstream == "u3-a");
}

TEST_CASE(
    "of two replicas in the own data centre the slower one is asked less") {
  tier_model tier(2);
  tier.View().snapshots[0].snapshots[0].shards = {{"s0", {"u0-a", "u1-a"}}};
  tier.PushView();
  tier.upstreams = [](const sent_attempt& seen) {
    return Answer(seen, seen.attempt.upstream == "u0-a" ? 20ms : 2ms);
  };
  for (int i = 0; i < 200; ++i) {
    tier.Ask();
    tier.Advance(5ms);
  }
  const auto slow = std::count_if(
      tier.sent.begin(), tier.sent.end(),
      [](const auto& each) { return each.attempt.upstream == "u0-a"; });
  CHECK(slow < 50);
}

TEST_CASE("late and duplicate results are dropped by their attempt id") {
  tier_model tier(2);
  const auto first = tier.Ask();
  const auto a = tier.sent[0].attempt.attempt_id;
  tier.DeliverResult(a, shard_status::kAnswered);
  tier.DeliverResult(a, shard_status::kAnswered);
  CHECK(tier.outcomes.empty());
  tier.DeliverResult(tier.sent[1].attempt.attempt_id, shard_status::kAnswered);
  CHECK(Answered(tier, first).details.coverage == 1.0);
  const auto second = tier.Ask();
  for (const auto& old : {tier.sent[0], tier.sent[1]}) {
    tier.DeliverResult(old.attempt.attempt_id, shard_status::kAnswered);
  }
  CHECK(tier.outcomes.count(second) == 0);
}

TEST_CASE("an answer from another snapshot is discarded") {
  tier_model tier(2);
  const auto query = tier.Ask();
  tier.DeliverResult(tier.sent[0].attempt.attempt_id, shard_status::kAnswered,
                     shard_reason::kNone, 9);
  tier.DeliverResult(tier.sent[1].attempt.attempt_id, shard_status::kAnswered);
  REQUIRE(tier.sent.size() == 3);
  CHECK(tier.sent[2].attempt.upstream == "u0-b");
  CHECK(tier.outcomes.count(query) == 0);
}

TEST_CASE("an expired snapshot restarts the whole query on one that is held") {
  tier_model tier(8);
  tier.View().snapshots[0].snapshots.clear();
  tier.AddSnapshot(1, 4);
  tier.AddSnapshot(2, 8);  // Every shard is split in two.
  tier.PushView();
  tier.upstreams = [](const sent_attempt& seen) {
    if (seen.snapshot == 1) return Answer(seen, 1ms);
    const bool first_half = seen.attempt.shard < "s4";
    if (first_half && seen.snapshot == 2) return Answer(seen, 1ms);
    planned_result gone = End(shard_status::kSnapshotGone, shard_reason::kNone);
    gone.result.snapshots_held = {1};
    return gone;
  };
  const auto query = tier.Ask();
  CHECK(tier.sent[0].snapshot == 2);
  tier.Advance(20ms);
  const answered& answer = Answered(tier, query);
  CHECK(answer.details.snapshot == 1);
  CHECK(answer.details.restarts == 1);
  CHECK(answer.details.coverage == 1.0);
  CHECK(answer.details.shards.size() == 4);
  CHECK(answer.hits.size() == 4);
  // The next query uses the observations of this one and starts with the held
  // snapshot.
  const std::size_t before = tier.sent.size();
  tier.Ask();
  CHECK(tier.sent.at(before).snapshot == 1);
}

TEST_CASE("without a better snapshot the lower coverage is reported") {
  tier_model tier(4);
  tier.Workload().coverage.minimum = 0.5;
  tier.upstreams = [](const sent_attempt& seen) {
    if (seen.attempt.shard != "s0") return Answer(seen, 1ms);
    return End(shard_status::kSnapshotGone, shard_reason::kNone);
  };
  const auto query = tier.Ask();
  tier.Advance(20ms);
  const account& details = Answered(tier, query).details;
  CHECK(details.coverage == 0.75);
  CHECK(details.shards[0].reason == shard_reason::kSnapshotGone);
  CHECK(details.restarts == 0);
}

TEST_CASE("a query settles for partial coverage only if its policy allows it") {
  tier_model tier(10);
  tier.upstreams = [](const sent_attempt& seen) {
    const bool slow = seen.attempt.shard == "s9";
    return Answer(seen, slow ? 400ms : 2ms);
  };
  const auto full = tier.Ask();
  tier.Advance(50ms);
  CHECK(tier.outcomes.count(full) == 0);
  tier.Workload().coverage = {0.8, 0.9, 10ms};
  const auto counter = tier.Ask();
  const monotonic_time start = tier.now;
  tier.Advance(50ms);
  CHECK(Answered(tier, counter).details.coverage == 0.9);
  CHECK(tier.settled_at[counter] - start == 10ms);
  CHECK(Answered(tier, counter).details.shards[9].outcome ==
        shard_outcome::kLate);
  CHECK(WasCancelled(tier, tier.sent.back().attempt.attempt_id));
}

TEST_CASE(
    "the answer precedes the deadline; below the minimum it is an error") {
  tier_model tier(3);
  tier.upstreams =
      [](const sent_attempt& seen) -> std::optional<planned_result> {
    if (seen.attempt.shard == "s0") return Answer(seen, 1ms);
    return std::nullopt;
  };
  auto request = tier_model::Request();
  request.deadline = 100ms;
  const monotonic_time start = tier.now;
  const auto query = tier.Ask(request);
  request.minimum_coverage = 0.3;
  const auto lenient = tier.Ask(request);
  tier.Advance(200ms);
  CHECK(tier.settled_at[query] - start < 100ms);
  REQUIRE(std::holds_alternative<below_coverage>(tier.OutcomeOf(query)));
  const auto& refusal = std::get<below_coverage>(tier.OutcomeOf(query));
  CHECK(refusal.cause.kind == error_kind::kBelowCoverage);
  CHECK_FALSE(refusal.cause.remedy.empty());
  CHECK(refusal.details.shards[1].outcome == shard_outcome::kLate);
  CHECK(Answered(tier, lenient).hits.size() == 1);
}

TEST_CASE("refusals before running are retried at the other replica") {
  tier_model tier(2);
  tier.upstreams = [](const sent_attempt& seen) {
    if (seen.steward == "sb") return Answer(seen, 1ms);
    return End(shard_status::kNotRun, shard_reason::kQueueFull);
  };
  const auto query = tier.Ask();
  tier.Advance(10ms);
  CHECK(Answered(tier, query).details.retries == 2);
  CHECK(Answered(tier, query).details.shards[0].upstream == "u0-b");
}

TEST_CASE("a query refused by all replicas is proven not run") {
  tier_model tier(2);
  tier.upstreams = [](const sent_attempt& /*seen*/) {
    return End(shard_status::kNotRun, shard_reason::kCold);
  };
  const auto query = tier.Ask();
  tier.Advance(10ms);
  REQUIRE(std::holds_alternative<not_run>(tier.OutcomeOf(query)));
  CHECK(std::get<not_run>(tier.OutcomeOf(query)).details.shards[0].reason ==
        shard_reason::kCold);
}

TEST_CASE("retries stay within the budget when every attempt is lost") {
  tier_model tier(20);
  tier.upstreams = [](const sent_attempt& /*seen*/) {
    return End(shard_status::kLost, shard_reason::kUpstreamLost);
  };
  for (int i = 0; i < 500; ++i) {
    tier.Ask();
    tier.Advance(10ms);
  }
  const auto first = static_cast<double>(tier.totals.first_attempts);
  CHECK(first == 10000);
  CHECK(tier.totals.retries > 400);
  CHECK(tier.totals.retries <= 0.05 * first + retry_budget::kInitialBalance);
}

TEST_CASE("nothing new is sent to a data centre that is ordered out") {
  tier_model tier(3);
  tier.View().orders = {{"a", 1, true}, {"a", 2, false}, {"a", 3, true}};
  tier.PushView();
  tier.Ask();
  for (const auto& each : tier.sent) CHECK(each.steward == "sb");
  tier.View().orders = {{"a", 3, true}, {"b", 1, true}};
  tier.PushView();
  const auto query = tier.Ask();
  CHECK(tier.sent.size() == 3);
  CHECK(std::get<not_run>(tier.OutcomeOf(query)).details.shards[0].reason ==
        shard_reason::kDataCentreOut);
}

TEST_CASE("attempts of a lost steward are retried at once and avoid it") {
  tier_model tier(3);
  tier.upstreams =
      [](const sent_attempt& seen) -> std::optional<planned_result> {
    if (seen.steward == "sa") return std::nullopt;
    return Answer(seen, 1ms);
  };
  const auto query = tier.Ask();
  tier.Advance(1ms);
  tier.engine.OnStewardLink("sa", false, tier.now);
  tier.Advance(2ms);
  CHECK(Answered(tier, query).details.coverage == 1.0);
  const std::size_t before = tier.sent.size();
  tier.Ask();
  CHECK(tier.sent.at(before).steward == "sb");
  tier.engine.OnStewardLink("sa", true, tier.now);
  tier.Ask();
  CHECK(tier.sent.back().steward == "sa");
}

TEST_CASE("an attempt refused by a former steward waits for the new roster") {
  tier_model tier(1);
  tier.View().snapshots[0].snapshots[0].shards[0].replicas = {"u0-a"};
  tier.PushView();
  const auto query = tier.Ask();
  tier.DeliverResult(tier.sent[0].attempt.attempt_id, shard_status::kNotRun,
                     shard_reason::kNotSteward);
  CHECK(tier.outcomes.count(query) == 0);
  tier.View().rosters[0].assignments[0].steward = "sc";
  tier.upstreams = [](const auto& seen) { return Answer(seen, 1ms); };
  tier.PushView();
  tier.Advance(5ms);
  CHECK(tier.sent.back().steward == "sc");
  CHECK(Answered(tier, query).details.coverage == 1.0);
}

TEST_CASE("requests over the limit or the workload's deadline are refused") {
  tier_model tier(1);
  auto request = tier_model::Request();
  request.deadline = 5s;
  auto opened = tier.engine.Open(request, tier.now, tier.now);
  REQUIRE(std::holds_alternative<error>(opened));
  CHECK(std::get<error>(opened).field == "/deadline_ms");
  for (int i = 0; i < 64; ++i) tier.Ask();
  opened = tier.engine.Open(tier_model::Request(), tier.now, tier.now);
  CHECK(std::get<error>(opened).kind == error_kind::kOverloaded);
}

}  // namespace papayaglade
