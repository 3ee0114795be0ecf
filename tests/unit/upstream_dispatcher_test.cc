#include "coordination/upstream_dispatcher.h"

#include <algorithm>
#include <catch2/catch.hpp>

#include "model_upstream.h"

namespace papayaglade {

namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t kSeed = 7;
constexpr upstream_limits kLimits{3, 1, 10};
constexpr milliseconds kNoDeadline{100000};

// Submits attempts often enough to keep three slots in use.
void RunLoad(model_upstream& model, milliseconds time) {
  for (milliseconds passed{0}; passed < time; passed += milliseconds(1)) {
    model.Submit(milliseconds(60));
    model.Run(milliseconds(1));
  }
}

void WarmUp(model_upstream& model) {
  RunLoad(model, milliseconds(8000));
  REQUIRE(model.dispatcher.Summary().phase == steward_phase::kWarm);
}

int CountReason(const model_upstream& model, shard_reason reason) {
  return static_cast<int>(std::count_if(
      model.results.begin(), model.results.end(), [&](const auto& each) {
        return each.result.reason == reason &&
               each.result.status == shard_status::kNotRun;
      }));
}

}  // namespace

TEST_CASE("random faults never overload a cold upstream",
          "[upstream][random]") {
  const std::uint64_t seed = GENERATE(range(1, 101));
  CAPTURE(seed);
  std::mt19937_64 random(seed);
  const int cold_slots = 1 + static_cast<int>(seed % 2);
  model_upstream model({seed % 3 == 0 ? 8 : 3, cold_slots, 20}, seed);
  model.health_answer.incarnation = "1";
  model.LoseAnswers(true);
  RunLoad(model, milliseconds(7000));
  for (int step = 0; step < 12; ++step) {
    model.health_answer.phase =
        random() % 8 == 0 ? upstream_phase::kCold : upstream_phase::kWarm;
    model.GrantLease(milliseconds(random() % 4 == 0 ? 300 : 100000));
    const milliseconds cold(500 + random() % 4000);
    switch (random() % 6) {
      case 0:
        model.Restart(milliseconds(random() % 400), cold, random() % 2 == 0);
        break;
      case 1:
        model.GoColdWithoutRestart(cold);
        break;
      case 2:
        model.Freeze(milliseconds(random() % 3000));
        break;
      case 3:
        model.SilenceConnection();
        break;
      case 4:
        model.ResetBusyConnection();
        break;
      default:
        model.health_answer.incarnation = model.incarnation;
    }
    RunLoad(model, milliseconds(200 + random() % 1500));
  }
  model.Run(milliseconds(5000));
  CHECK(model.over_cold_bound == 0);
  CHECK(model.unproven_sends == 0);
  CHECK(model.uncounted == 0);
  CHECK(model.stale_sends == 0);
  std::set<std::uint64_t> ended;
  int wrong_not_run = 0;
  for (const model_upstream::finished& each : model.results) {
    const std::uint64_t id = each.attempt.Attempt().attempt_id;
    ended.insert(id);
    const bool not_run = each.result.status == shard_status::kNotRun;
    if (not_run && model.ran.count(id) != 0) ++wrong_not_run;
  }
  CHECK(wrong_not_run == 0);
  CHECK(ended.size() == model.results.size());
  CHECK(model.dispatcher.IsIdle());
}

TEST_CASE("an upstream falls back to cold after an unannounced restart",
          "[upstream]") {
  model_upstream model(kLimits, kSeed);
  WarmUp(model);
  model.Restart(milliseconds(0), milliseconds(3000));
  RunLoad(model, milliseconds(100));
  CHECK(model.dispatcher.Summary().limit == 1);
  CHECK(model.over_cold_bound == 0);
}

TEST_CASE(
    "one idle connection closed by the far end is not taken for a restart",
    "[upstream]") {
  model_upstream model(kLimits, kSeed);
  WarmUp(model);
  model.Run(milliseconds(100));
  // Connection 1 is the first one that was opened.
  model.dispatcher.OnFailed({1, connection_failure::kReset, false, 0});
  CHECK(model.dispatcher.Summary().phase == steward_phase::kWarm);
}

TEST_CASE("a steward sends no late or unproven work after a pause",
          "[upstream]") {
  model_upstream model(kLimits, kSeed);
  model.GrantLease(milliseconds(200));
  model.Run(milliseconds(50));
  model.Freeze(milliseconds(3000));
  const std::uint64_t before = model.sent;
  for (int i = 0; i < 20; ++i) model.Submit(milliseconds(100));
  for (int i = 0; i < 20; ++i) model.Submit(kNoDeadline);
  model.Run(milliseconds(4000));
  CHECK(model.sent == before);
  CHECK(CountReason(model, shard_reason::kStandingUnproven) == 40);
}

TEST_CASE("warm work continues without a lease until a sign of a restart",
          "[upstream]") {
  model_upstream model(kLimits, kSeed);
  WarmUp(model);
  model.GrantLease(milliseconds(0));
  const std::uint64_t before = model.sent;
  RunLoad(model, milliseconds(200));
  CHECK(model.sent > before);
  model.Restart(milliseconds(0), milliseconds(3000));
  model.Run(milliseconds(1));
  const std::uint64_t after = model.sent;
  RunLoad(model, milliseconds(500));
  CHECK(model.sent == after);
}

TEST_CASE("an upstream becomes warm under little load without a higher limit",
          "[upstream]") {
  model_upstream model(kLimits, kSeed);
  for (int i = 0; i < 700; ++i) {
    model.Submit(milliseconds(60));
    model.Run(milliseconds(50));
  }
  CHECK(model.dispatcher.Summary().phase == steward_phase::kWarm);
  CHECK(model.dispatcher.Summary().limit == 2);
  model.GrantLease(milliseconds(0));
  const std::uint64_t before = model.sent;
  model.Submit(milliseconds(60));
  model.Run(milliseconds(50));
  CHECK(model.sent == before + 1);
}

TEST_CASE("an upstream with a new address gets no work on old connections",
          "[upstream]") {
  model_upstream model(kLimits, kSeed);
  WarmUp(model);
  model.dispatcher.SetDefinition({"u", "kigali", {"127.0.0.1", 2}, kLimits});
  CHECK(model.dispatcher.Summary().limit == 1);
  model.Run(milliseconds(2));
  const std::uint64_t before = model.sent;
  model.Submit(milliseconds(60));
  CHECK(model.sent == before);
}

TEST_CASE(
    "work of a broken connection frees its slot once it has provably ended",
    "[upstream]") {
  model_upstream model(kLimits, kSeed);
  WarmUp(model);
  model.Run(milliseconds(200));
  model.Submit(kNoDeadline);
  model.Run(milliseconds(1));
  model.ResetBusyConnection();
  REQUIRE(model.dispatcher.Summary().unproven == 1);
  model.Run(milliseconds(200));
  CHECK(model.dispatcher.Summary().unproven == 0);
}

TEST_CASE("a silent connection is retired and counts against the limit",
          "[upstream]") {
  model_upstream model(kLimits, kSeed);
  WarmUp(model);
  model.Run(milliseconds(100));
  model.SilenceConnection();
  RunLoad(model, milliseconds(3000));
  const auto summary = model.dispatcher.Summary();
  CHECK(summary.retired_connections == 1);
  CHECK(summary.phase == steward_phase::kWarm);
  CHECK(summary.connections + summary.retired_connections <= 10);
}

TEST_CASE(
    "a leaving upstream gets no new work and returns in the unknown phase",
    "[upstream]") {
  model_upstream model(kLimits, kSeed);
  WarmUp(model);
  model.health_answer = {upstream_phase::kLeaving, "1", 0, {}};
  model.Run(milliseconds(1100));
  const std::uint64_t before = model.sent;
  RunLoad(model, milliseconds(500));
  CHECK(model.sent == before);
  CHECK(CountReason(model, shard_reason::kLeaving) >= 400);
  model.health_answer = {upstream_phase::kWarm, "2", 0, {}};
  model.Run(milliseconds(1100));
  CHECK(model.dispatcher.Summary().phase == steward_phase::kUnknown);
}

TEST_CASE("an upstream that refuses connections is down until one succeeds",
          "[upstream]") {
  model_upstream model(kLimits, kSeed);
  WarmUp(model);
  model.Restart(milliseconds(1000), milliseconds(3000));
  RunLoad(model, milliseconds(500));
  CHECK(model.dispatcher.Summary().phase == steward_phase::kLost);
  CHECK(CountReason(model, shard_reason::kUpstreamDown) > 100);
  RunLoad(model, milliseconds(3000));
  CHECK(model.dispatcher.Summary().phase == steward_phase::kCold);
}

TEST_CASE(
    "an upstream of a data centre ordered out gets no work and returns cold",
    "[upstream]") {
  model_upstream model(kLimits, kSeed);
  WarmUp(model);
  model.dispatcher.SetDataCentreOut(true);
  const std::uint64_t before = model.sent;
  RunLoad(model, milliseconds(100));
  CHECK(model.sent == before);
  CHECK(CountReason(model, shard_reason::kDataCentreOut) >= 100);
  model.dispatcher.SetDataCentreOut(false);
  CHECK(model.dispatcher.Summary().limit == 1);
}

TEST_CASE("a handover passes on the limit and the requests in flight",
          "[upstream]") {
  model_upstream old_steward(kLimits, kSeed);
  WarmUp(old_steward);
  old_steward.Run(milliseconds(200));
  for (int i = 0; i < 6; ++i) old_steward.Submit(milliseconds(2000));
  old_steward.dispatcher.Release();
  const upstream_state state = old_steward.dispatcher.ReleasedState();
  CHECK(state.limit == 3);
  REQUIRE(state.in_flight.size() == 3);
  CHECK(CountReason(old_steward, shard_reason::kNotSteward) >= 3);
  const std::uint64_t sent = old_steward.sent;
  RunLoad(old_steward, milliseconds(50));
  CHECK(old_steward.sent == sent);
  CHECK(old_steward.dispatcher.IsIdle());

  model_upstream next_steward(kLimits, kSeed);
  next_steward.dispatcher.ImportState(state);
  CHECK(next_steward.dispatcher.Summary().unproven == 3);
  RunLoad(next_steward, milliseconds(1000));
  CHECK(next_steward.sent == 0);
  RunLoad(next_steward, milliseconds(3000));
  CHECK(next_steward.sent > 0);
  CHECK(next_steward.dispatcher.Summary().phase == steward_phase::kWarm);
}

TEST_CASE(
    "a takeover without a handover waits for the work of the previous steward",
    "[upstream]") {
  model_upstream model(kLimits, kSeed);
  standing_update fenced;
  fenced.proven_until = model.Now() + milliseconds(100000);
  fenced.upstreams = {"u"};
  fenced.fenced = {"u"};
  fenced.fenced_until = model.Now() + milliseconds(400);
  // The fence lasts 400 ms; warm work of the previous steward may run for 500
  // ms.
  model.dispatcher.SetRequestBounds({milliseconds(400), milliseconds(500)});
  model.standing.Update(fenced);
  model.dispatcher.OnStandingChanged();
  RunLoad(model, milliseconds(550));
  CHECK(model.sent == 0);
  RunLoad(model, milliseconds(200));
  CHECK(model.sent > 0);
  model.standing.Update({});
  model.dispatcher.OnStandingChanged();
  fenced.fenced_until = model.Now() + milliseconds(400);
  model.standing.Update(fenced);
  model.dispatcher.OnStandingChanged();
  model.dispatcher.ImportState({});
  model.GrantLease(milliseconds(100000));
  const std::uint64_t before = model.sent;
  RunLoad(model, milliseconds(300));
  CHECK(model.sent > before);
}

TEST_CASE("requests of a cold start end before the fence of a takeover",
          "[upstream]") {
  model_upstream model(kLimits, kSeed);
  model.dispatcher.SetRequestBounds({milliseconds(400), milliseconds(500)});
  model.LoseAnswers(true);
  model.GrantLease(milliseconds(100000));
  model.Submit(kNoDeadline);
  model.Run(milliseconds(50));
  REQUIRE(model.sent == 1);
  model.Run(milliseconds(600));
  CHECK(model.results.size() == 1);
}

TEST_CASE("a steward paused beyond its lease resets the phase of the upstream",
          "[upstream]") {
  model_upstream model(kLimits, kSeed);
  WarmUp(model);
  model.GrantLease(milliseconds(500));
  model.Freeze(milliseconds(2000));
  const std::uint64_t before = model.sent;
  RunLoad(model, milliseconds(2500));
  CHECK(model.sent == before);
}

TEST_CASE("a fenced upstream gets no work before the fence ends",
          "[upstream]") {
  model_upstream model(kLimits, kSeed);
  standing_update update;
  update.proven_until = model.Now() + milliseconds(100000);
  update.upstreams = {"u"};
  update.fenced = {"u"};
  update.fenced_until = model.Now() + milliseconds(1000);
  model.standing.Update(update);
  RunLoad(model, milliseconds(900));
  CHECK(model.sent == 0);
  RunLoad(model, milliseconds(300));
  CHECK(model.sent > 0);
}

}  // namespace papayaglade
