#include "coordination/request_run.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <catch2/trompeloeil.hpp>
#include <map>
#include <random>
#include <set>

namespace papayaglade {

namespace {

using std::chrono::milliseconds;
using trompeloeil::_;

constexpr monotonic_time kStart{std::chrono::hours(1)};
constexpr std::size_t kShards = 20;

class mock_port : public run_port {
 public:
  MAKE_MOCK1(Send, void(const attempt&), override);
  MAKE_MOCK1(Abandon, void(std::uint64_t), override);
  MAKE_MOCK1(Finish, void(entry_answer), override);
};

/// Records the calls of a run.
class recording_port : public run_port {
 public:
  void Send(const attempt& attempt) override {
    open[attempt.number] = attempt;
    sent.push_back(attempt);
  }
  void Abandon(std::uint64_t number) override {
    open.erase(number);
    ++abandoned;
  }
  void Finish(entry_answer answer) override {
    answers.push_back(std::move(answer));
  }

  std::map<std::uint64_t, attempt> open;
  std::vector<attempt> sent;
  std::vector<entry_answer> answers;
  std::size_t abandoned = 0;
};

/// A tier of `kShards` shards with two upstreams each, and an archive service
/// with three.
struct deployment {
  deployment()
      : directory("kigali", shutdown_timeouts(), warmup_limits()),
        policy(repeat_limits()) {
    auto made = std::make_shared<tier_configuration>();
    route search;
    search.name = "search";
    search.idempotent = true;
    search.max_attempts = 2;
    search.timeout = milliseconds(1200);
    search.latency_target = milliseconds(200);
    fanout_target target;
    target.top_records = 5;
    target.minimum_coverage = 0.89;
    std::vector<upstream_record> records;
    for (std::size_t i = 0; i < kShards; ++i) {
      const std::string shard = "shard-" + std::to_string(i);
      target.shards.push_back(shard);
      AddService(*made, records, shard, 2);
    }
    search.target = target;
    made->routes.push_back(search);
    route pull;
    pull.name = "pull";
    pull.idempotent = true;
    pull.max_attempts = 2;
    pull.timeout = milliseconds(5000);
    pull.latency_target = milliseconds(800);
    pull.target = single_target{"archive"};
    made->routes.push_back(pull);
    pull.name = "pull-once";
    pull.max_attempts = 1;
    made->routes.push_back(pull);
    pull.max_attempts = 2;
    pull.name = "book";
    pull.idempotent = false;
    made->routes.push_back(pull);
    AddService(*made, records, "archive", 3);
    configuration = made;
    directory.SetConfiguration(made);
    policy.SetInstances(1);
    for (const auto& each : records) directory.Update(each, kStart);
  }

  static void AddService(tier_configuration& to,
                         std::vector<upstream_record>& records,
                         const std::string& name, std::size_t upstreams) {
    service_limits limits;
    limits.name = name;
    limits.connections = 31;
    to.services[name] = limits;
    for (std::size_t i = 0; i < upstreams; ++i) {
      upstream_record record;
      record.id = name + "-" + std::to_string(i);
      record.service = name;
      record.data_centre = i == 0 ? "kigali" : "huye";
      record.slots = 3;
      records.push_back(record);
    }
  }

  request_run Run(const std::string& name, run_port& port,
                  std::optional<milliseconds> left = milliseconds(1200)) {
    request_run::context context;
    context.configuration = configuration;
    for (const route& each : configuration->routes) {
      if (each.name == name) context.matched_route = &each;
    }
    context.arrival = kStart;
    context.time_left = left;
    return request_run(std::move(context), directory, policy, port);
  }

  void RemoveService(const std::string& service) {
    for (int i = 0; i < 3; ++i) {
      directory.Erase(service + "-" + std::to_string(i));
    }
  }

  upstream_directory directory;
  attempt_policy policy;
  std::shared_ptr<const tier_configuration> configuration;
};

attempt_result Part(const std::string& signature) {
  attempt_result result;
  result.end = attempt_end::kAnswered;
  result.reply.status = 200;
  result.reply.signature = signature;
  result.reply.body = std::string(16, 'r');
  return result;
}

attempt_result Ended(attempt_end end) {
  attempt_result result;
  result.end = end;
  if (end == attempt_end::kFailedAnswer) result.reply.status = 500;
  return result;
}

// Answers all open attempts except those of `excluded` shards.
void AnswerAllExcept(request_run& run, recording_port& port,
                     const std::vector<std::size_t>& excluded,
                     monotonic_time now) {
  const auto open = port.open;
  for (const auto& each : open) {
    const std::size_t leg = each.second.leg;
    if (std::find(excluded.begin(), excluded.end(), leg) != excluded.end())
      continue;
    port.open.erase(each.first);
    run.OnResult(each.first, Part(std::to_string(leg)), now);
  }
}

void Advance(request_run& run, monotonic_time until) {
  while (!run.IsDone() && run.NextTimer() <= until)
    run.OnTimer(run.NextTimer());
}

refusal CauseOf(const entry_answer& answer) {
  return std::get<refused_answer>(answer).cause;
}

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
