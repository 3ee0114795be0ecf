#include <catch2/catch.hpp>
#include <catch2/trompeloeil.hpp>

#include "request_run_model.h"

namespace papayaglade {

namespace {

using std::chrono::milliseconds;
using trompeloeil::_;

}  // namespace

TEST_CASE("a fan-out answers as soon as all shards have answered", "[run]") {
  deployment tier;
  recording_port port;
  request_run run = tier.Run("search", port);
  run.Start(kStart);
  CHECK(port.sent.size() == kShards);
  AnswerAllExcept(run, port, {}, kStart + milliseconds(30));
  REQUIRE(port.answers.size() == 1);
  const auto& answer = std::get<merged_answer>(port.answers.front());
  CHECK(answer.missing == 0);
  CHECK(answer.signatures.size() == kShards);
  CHECK(answer.records.size() == 5 * 16);
}

// Guards against missing the latency target because one replica pauses for
// longer than the target.
TEST_CASE("a slow shard is hedged, and the answer to the hedge is used",
          "[run]") {
  deployment tier;
  recording_port port;
  request_run run = tier.Run("search", port);
  run.Start(kStart);
  AnswerAllExcept(run, port, {3}, kStart + milliseconds(30));
  REQUIRE(port.answers.empty());
  Advance(run, kStart + milliseconds(100));
  REQUIRE(port.sent.size() == kShards + 1);
  CHECK(port.sent.back().leg == 3);
  CHECK(port.sent.back().is_repeat);
  CHECK(port.sent.back().upstream != port.sent.at(3).upstream);
  port.open.erase(port.sent.back().number);
  run.OnResult(port.sent.back().number, Part("3"), kStart + milliseconds(120));
  REQUIRE(port.answers.size() == 1);
  CHECK(std::get<merged_answer>(port.answers.front()).missing == 0);
  CHECK(port.open.empty());
}

// Guards against waiting beyond the latency target when both replicas of a
// shard stay silent.
TEST_CASE("a fan-out finishes within its latency target with partial coverage",
          "[run]") {
  deployment tier;
  recording_port port;
  request_run run = tier.Run("search", port);
  run.Start(kStart);
  AnswerAllExcept(run, port, {3, 7}, kStart + milliseconds(30));
  Advance(run, kStart + milliseconds(199));
  REQUIRE(port.answers.size() == 1);
  const auto& answer = std::get<merged_answer>(port.answers.front());
  CHECK(answer.missing == 2);
  CHECK(answer.signatures.size() == kShards - 2);
}

// Guards against failing a fan-out because a burst fills the queues of a few
// shards' upstreams for a moment. The other parts would be lost, and the caller
// would ask all shards again.
TEST_CASE("upstreams without capacity are asked again before a run gives up",
          "[run]") {
  deployment tier;
  recording_port port;
  request_run run = tier.Run("search", port);
  run.Start(kStart);
  AnswerAllExcept(run, port, {1, 2, 3}, kStart + milliseconds(30));
  std::map<std::size_t, std::set<upstream_pointer>> asked;
  monotonic_time now = kStart + milliseconds(30);
  for (; now < kStart + milliseconds(60); now += milliseconds(5)) {
    const auto open = port.open;
    for (const auto& each : open) {
      asked[each.second.leg].insert(each.second.upstream);
      port.open.erase(each.first);
      run.OnResult(each.first, Ended(attempt_end::kNotRun), now);
    }
    Advance(run, now);
  }
  REQUIRE(port.answers.empty());
  for (const auto& each : asked) CHECK(each.second.size() <= 2);
  Advance(run, kStart + milliseconds(160));
  REQUIRE(port.open.size() == asked.size());
  AnswerAllExcept(run, port, {}, kStart + milliseconds(165));
  REQUIRE(port.answers.size() == 1);
  CHECK(std::get<merged_answer>(port.answers.front()).missing == 0);
}

// Guards against giving up a fan-out while all connections to a few shards'
// upstreams are busy, as when a burst meets slow upstreams.
TEST_CASE("a fan-out with parts waits for a connection until its deadline",
          "[run]") {
  deployment tier;
  const auto busy = {0, 1, 2};
  std::vector<std::pair<upstream_pointer, monotonic_time>> held;
  for (const int shard : busy) {
    for (int i = 0; i < 2; ++i) {
      const auto upstream = tier.directory.All().at(
          "shard-" + std::to_string(shard) + "-" + std::to_string(i));
      for (int k = 0; k < 31; ++k) {
        held.emplace_back(upstream, upstream->health.BeginAttempt(
                                        kStart, milliseconds(1000)));
      }
    }
  }
  recording_port port;
  request_run run = tier.Run("search", port);
  run.Start(kStart);
  REQUIRE(port.sent.size() == kShards - busy.size());
  AnswerAllExcept(run, port, {}, kStart + milliseconds(30));
  Advance(run, kStart + milliseconds(300));
  REQUIRE(port.answers.empty());
  for (const auto& each : held)
    each.first->health.RecordCancellation(each.second);
  Advance(run, kStart + milliseconds(320));
  AnswerAllExcept(run, port, {}, kStart + milliseconds(330));
  REQUIRE(port.answers.size() == 1);
  // The time to settle is over, so the run ends with the first part that
  // reaches the minimum.
  CHECK(std::get<merged_answer>(port.answers.front()).missing == 2);
}

TEST_CASE("a fan-out refused by all upstreams ends within its latency target",
          "[run]") {
  deployment tier;
  recording_port port;
  request_run run = tier.Run("search", port);
  run.Start(kStart);
  monotonic_time now = kStart;
  while (port.answers.empty() && now < kStart + milliseconds(1000)) {
    now += milliseconds(5);
    for (const auto& each : std::map<std::uint64_t, attempt>(port.open)) {
      port.open.erase(each.first);
      run.OnResult(each.first, Ended(attempt_end::kNotRun), now);
    }
    Advance(run, now);
  }
  REQUIRE(port.answers.size() == 1);
  CHECK(std::holds_alternative<refused_answer>(port.answers.front()));
  CHECK(now - kStart <= milliseconds(200));
  CHECK(port.sent.size() <= 5 * kShards);
}

// Guards against sending an attempt without time left. It happens when an
// upstream gives up exactly at its deadline: a second upstream would get a
// limit of 0, which means no limit.
TEST_CASE("no upstream is asked when no time is left", "[run]") {
  for (const int early_ms : {0, 1, 4}) {
    deployment tier;
    recording_port port;
    request_run run = tier.Run("pull-once", port, milliseconds(1010));
    run.Start(kStart);
    Advance(run, kStart + milliseconds(990));
    REQUIRE(port.sent.size() == 1);
    run.OnResult(1, Ended(attempt_end::kFailedAnswer),
                 kStart + milliseconds(1000 - early_ms));
    Advance(run, kStart + milliseconds(1000));
    INFO(early_ms << " ms before the end");
    CHECK(port.sent.size() == 1);
    REQUIRE(port.answers.size() == 1);
    CHECK(std::holds_alternative<relayed_answer>(port.answers.front()));
  }
}

TEST_CASE("a fan-out below its minimum coverage waits for late answers",
          "[run]") {
  deployment tier;
  recording_port port;
  request_run run = tier.Run("search", port);
  run.Start(kStart);
  AnswerAllExcept(run, port, {1, 2, 3}, kStart + milliseconds(30));
  Advance(run, kStart + milliseconds(400));
  CHECK(port.answers.empty());
  const std::uint64_t late = port.sent.at(2).number;
  run.OnResult(late, Part("2"), kStart + milliseconds(400));
  REQUIRE(port.answers.size() == 1);
  CHECK(std::get<merged_answer>(port.answers.front()).missing == 2);
}

TEST_CASE("a fan-out that cannot reach its minimum coverage is refused at once",
          "[run]") {
  deployment tier;
  for (int i = 0; i < 3; ++i) tier.RemoveService("shard-" + std::to_string(i));
  mock_port port;
  request_run run = tier.Run("search", port);
  FORBID_CALL(port, Send(_));
  REQUIRE_CALL(port, Finish(_))
      .LR_WITH(CauseOf(_1) == refusal::kNoUpstream)
      .LR_WITH(std::get<refused_answer>(_1).retry_after.has_value());
  run.Start(kStart);
}

}  // namespace papayaglade
