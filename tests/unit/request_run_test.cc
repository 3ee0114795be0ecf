#include "coordination/request_run.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <catch2/trompeloeil.hpp>
#include <random>
#include <set>

#include "request_run_model.h"

namespace papayaglade {

namespace {

using std::chrono::milliseconds;
using trompeloeil::_;

}  // namespace

TEST_CASE("an expired request is refused as not run", "[run]") {
  deployment tier;
  mock_port port;
  request_run run = tier.Run("pull", port, milliseconds(3));
  REQUIRE_CALL(port, Finish(_)).LR_WITH(CauseOf(_1) == refusal::kExpired);
  run.Start(kStart);
}

TEST_CASE("a failed attempt is retried at another upstream", "[run]") {
  deployment tier;
  recording_port port;
  request_run run = tier.Run("pull", port);
  for (int i = 0; i < 40; ++i) tier.policy.CountRequest("archive", kStart);
  run.Start(kStart);
  run.OnResult(1, Ended(attempt_end::kBroken), kStart + milliseconds(5));
  REQUIRE(port.sent.size() == 2);
  CHECK(port.sent[0].upstream != port.sent[1].upstream);
  run.OnResult(2, Ended(attempt_end::kFailedAnswer), kStart + milliseconds(9));
  // The route allows two upstreams; the second may be asked once more.
  REQUIRE(port.sent.size() == 3);
  CHECK(port.sent[1].upstream == port.sent[2].upstream);
  run.OnResult(3, Ended(attempt_end::kFailedAnswer), kStart + milliseconds(9));
  REQUIRE(port.answers.size() == 1);
  // The caller gets the failure that the upstream answered with.
  CHECK(std::get<relayed_answer>(port.answers[0]).reply.status == 500);
}

// Guards against large failures that many runs keep while they ask others.
TEST_CASE("a large failure is not kept while another upstream is asked",
          "[run][memory]") {
  const std::size_t bytes = GENERATE(1000, 1'000'000);
  deployment tier;
  recording_port port;
  request_run run = tier.Run("pull", port);
  for (int i = 0; i < 40; ++i) tier.policy.CountRequest("archive", kStart);
  run.Start(kStart);
  attempt_result failed = Ended(attempt_end::kFailedAnswer);
  failed.reply.body = std::string(bytes, 'x');
  SECTION("the others do not answer") {
    run.OnResult(1, failed, kStart + milliseconds(5));
    REQUIRE(port.sent.size() == 2);
    Advance(run, kStart + milliseconds(5000));
    REQUIRE(port.answers.size() == 1);
    CHECK(std::holds_alternative<relayed_answer>(port.answers[0]) ==
          (bytes == 1000));
  }
  SECTION("it is the last answer") {
    run.OnResult(1, Ended(attempt_end::kBroken), kStart + milliseconds(5));
    run.OnResult(2, Ended(attempt_end::kBroken), kStart + milliseconds(9));
    run.OnResult(3, failed, kStart + milliseconds(9));
    REQUIRE(port.answers.size() == 1);
    CHECK(std::get<relayed_answer>(port.answers[0]).reply.body.size() == bytes);
  }
}

// Guards against failing a request whose answer was lost on a route that allows
// only one upstream.
TEST_CASE("with one upstream allowed, the same one is asked again", "[run]") {
  deployment tier;
  for (int i = 0; i < 40; ++i) tier.policy.CountRequest("archive", kStart);
  recording_port port;
  request_run run = tier.Run("pull-once", port);
  run.Start(kStart);
  run.OnResult(1, Ended(attempt_end::kBroken), kStart + milliseconds(5));
  REQUIRE(port.sent.size() == 2);
  CHECK(port.sent[0].upstream == port.sent[1].upstream);
  run.OnResult(2, Part("x"), kStart + milliseconds(9));
  REQUIRE(port.answers.size() == 1);
  CHECK(std::holds_alternative<relayed_answer>(port.answers[0]));
}

TEST_CASE("a non-idempotent request that may have run is never repeated",
          "[run]") {
  deployment tier;
  for (int i = 0; i < 40; ++i) tier.policy.CountRequest("archive", kStart);
  recording_port port;
  request_run run = tier.Run("book", port, milliseconds(5000));
  run.Start(kStart);
  SECTION("broken") {
    run.OnResult(1, Ended(attempt_end::kBroken), kStart + milliseconds(5));
    CHECK(port.sent.size() == 1);
    REQUIRE(port.answers.size() == 1);
    CHECK(CauseOf(port.answers[0]) == refusal::kFailed);
  }
  SECTION("silent") {
    Advance(run, kStart + milliseconds(4999));
    CHECK(port.sent.size() == 1);
    REQUIRE(port.answers.size() == 1);
    CHECK(CauseOf(port.answers[0]) == refusal::kTimedOut);
  }
  SECTION("a request refused before it ran may go to another upstream") {
    run.OnResult(1, Ended(attempt_end::kNotRun), kStart + milliseconds(5));
    CHECK(port.sent.size() == 2);
    run.OnResult(2, Ended(attempt_end::kNotRun), kStart + milliseconds(6));
    REQUIRE(port.answers.size() == 1);
    CHECK(CauseOf(port.answers[0]) == refusal::kAllRefused);
  }
}

TEST_CASE("a run whose caller left abandons all attempts without an answer",
          "[run]") {
  deployment tier;
  recording_port port;
  request_run run = tier.Run("search", port);
  run.Start(kStart);
  run.Cancel();
  CHECK(port.open.empty());
  CHECK(port.answers.empty());
  run.OnResult(1, Part("0"), kStart + milliseconds(30));
  CHECK(port.answers.empty());
}

// Guards against a retry storm when upstreams refuse requests for lack of
// slots: refusals must not cause more arrivals than the repeat budget allows.
TEST_CASE("repeats stay within the budget when every upstream refuses",
          "[run]") {
  deployment tier;
  std::size_t requests = 0;
  std::size_t repeats = 0;
  for (int i = 0; i < 300; ++i) {
    recording_port port;
    request_run run = tier.Run("search", port);
    run.Start(kStart);
    requests += kShards;
    while (!run.IsDone()) {
      const auto open = port.open;
      for (const auto& each : open) {
        port.open.erase(each.first);
        run.OnResult(each.first, Ended(attempt_end::kNotRun), kStart);
      }
      if (!run.IsDone()) run.OnTimer(run.NextTimer());
    }
    repeats += static_cast<std::size_t>(
        std::count_if(port.sent.begin(), port.sent.end(),
                      [](const attempt& each) { return each.is_repeat; }));
  }
  const repeat_limits limits;
  CHECK(static_cast<double>(repeats) <=
        limits.ratio * static_cast<double>(requests) +
            limits.extra * static_cast<double>(kShards));
}

// Ends attempts at random times with random results, on all kinds of routes.
TEST_CASE("every run ends once, in time, with a correct outcome", "[run]") {
  const std::vector<std::string> names{"search", "pull", "book"};
  for (std::uint32_t seed = 1; seed <= 3000; ++seed) {
    INFO("seed " << seed);
    std::mt19937 random(seed);
    deployment tier;
    if (random() % 4 == 0)
      tier.RemoveService("shard-" + std::to_string(random() % 20));
    const std::string& name = names.at(random() % names.size());
    const milliseconds left(200 + random() % 3000);
    for (int i = 0; i < 50; ++i) tier.policy.CountRequest("archive", kStart);
    recording_port port;
    request_run run = tier.Run(name, port, left);
    monotonic_time now = kStart;
    run.Start(now);
    std::size_t may_have_run = 0;
    std::map<std::size_t, std::size_t> runs;
    std::map<std::size_t, std::size_t> unsent;
    std::map<std::size_t, std::size_t> refusals;
    while (!run.IsDone()) {
      now = std::max(
          now, std::min(run.NextTimer(), now + milliseconds(random() % 20)));
      if (!port.open.empty() && random() % 3 != 0) {
        const auto picked =
            std::next(port.open.begin(),
                      static_cast<std::ptrdiff_t>(random() % port.open.size()));
        const attempt ended = picked->second;
        port.open.erase(picked);
        attempt_result result = Part(std::to_string(ended.leg));
        constexpr attempt_end kEnds[] = {
            attempt_end::kAnswered,      attempt_end::kAnswered,
            attempt_end::kFailedAnswer,  attempt_end::kNotRun,
            attempt_end::kOtherUpstream, attempt_end::kNotSent,
            attempt_end::kBroken};
        result.end = kEnds[random() % 7];
        const bool ran = result.end == attempt_end::kAnswered ||
                         result.end == attempt_end::kFailedAnswer ||
                         result.end == attempt_end::kBroken;
        if (ran) ++may_have_run;
        const bool refused = result.end == attempt_end::kNotRun ||
                             result.end == attempt_end::kOtherUpstream;
        const bool sent = result.end != attempt_end::kNotSent;
        if (refused) ++refusals[ended.leg];
        if (!refused) ++(sent ? runs : unsent)[ended.leg];
        run.OnResult(ended.number, std::move(result), now);
      } else {
        now = std::max(now, run.NextTimer());
        run.OnTimer(now);
      }
    }
    CHECK(port.answers.size() == 1);
    CHECK(now <= kStart + left);
    CHECK(port.open.empty());
    // The limits apply to the upstreams asked and to attempts that may have
    // run; an upstream without capacity may be asked again.
    for (const auto& each : runs) CHECK(each.second <= 3);
    for (const auto& each : refusals) {
      CHECK(each.second + runs[each.first] <= (name == "search" ? 5 : 3));
    }
    for (std::size_t leg = 0; leg < kShards; ++leg) {
      std::set<std::string> asked;
      for (const attempt& each : port.sent) {
        if (each.leg == leg) asked.insert(each.upstream->record.id);
      }
      CHECK(asked.size() <= 2 + unsent[leg]);
    }
    const entry_answer& answer = port.answers.front();
    if (const auto* refused = std::get_if<refused_answer>(&answer)) {
      if (IsProvenNotRun(refused->cause))
        CHECK(may_have_run + port.abandoned == 0);
    }
    if (const auto* merged = std::get_if<merged_answer>(&answer)) {
      CHECK(merged->signatures.size() + merged->missing == kShards);
      CHECK(merged->signatures.size() >= 18);
    }
    if (name == "book") CHECK(may_have_run <= 1);
  }
}

}  // namespace papayaglade
