#include <catch2/catch.hpp>
#include <map>
#include <random>

#include "coordination/request_run.h"

namespace papayaglade {

namespace {

using std::chrono::milliseconds;

constexpr monotonic_time kStart{std::chrono::hours(1)};
constexpr std::size_t kShards = 4;

/// Records the calls of a run.
class run_record : public run_port {
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

  refusal Cause() const {
    return std::get<refused_answer>(answers.at(0)).cause;
  }

  std::map<std::uint64_t, attempt> open;
  std::vector<attempt> sent;
  std::vector<entry_answer> answers;
  std::size_t abandoned = 0;
};

/// A service and a fan-out over shards, two upstreams each.
struct small_tier {
  small_tier()
      : directory("kigali", shutdown_timeouts(), warmup_limits()),
        policy(repeat_limits()) {
    const auto made = std::make_shared<tier_configuration>();
    route pull;
    pull.name = "pull";
    pull.idempotent = true;
    pull.max_attempts = 2;
    pull.timeout = milliseconds(5000);
    pull.latency_target = milliseconds(800);
    pull.target = single_target{"archive"};
    made->routes.push_back(pull);
    pull.name = "book";
    pull.idempotent = false;
    made->routes.push_back(pull);
    fanout_target shards;
    shards.top_records = 5;
    shards.minimum_coverage = 0.5;
    for (std::size_t i = 0; i < kShards; ++i)
      shards.shards.push_back("shard-" + std::to_string(i));
    pull.name = "search";
    pull.idempotent = true;
    pull.latency_target = milliseconds(0);
    pull.target = shards;
    made->routes.push_back(pull);
    configuration = made;
    directory.SetConfiguration(made);
    policy.SetInstances(1);
    AddUpstreams("archive");
    for (const std::string& each : shards.shards) AddUpstreams(each);
  }

  void AddUpstreams(const std::string& service) {
    for (int i = 0; i < 2; ++i) {
      upstream_record record;
      record.id = service + "-" + std::to_string(i);
      record.service = service;
      record.data_centre = "kigali";
      record.slots = 3;
      directory.Update(record, kStart);
    }
  }

  request_run Run(const std::string& name, run_port& port) {
    request_run::context context;
    context.configuration = configuration;
    for (const route& each : configuration->routes) {
      if (each.name == name) context.matched_route = &each;
    }
    context.arrival = kStart;
    return request_run(std::move(context), directory, policy, port);
  }

  upstream_directory directory;
  attempt_policy policy;
  std::shared_ptr<const tier_configuration> configuration;
};

attempt_result Ended(attempt_end end) {
  attempt_result result;
  result.end = end;
  result.reply.status = end == attempt_end::kFailedAnswer ? 500 : 200;
  result.reply.body = std::string(16, 'r');
  return result;
}

// Runs all timers that are due by `until`.
void Advance(request_run& run, monotonic_time until) {
  while (!run.IsDone() && run.NextTimer() <= until)
    run.OnTimer(std::max(kStart, run.NextTimer()));
}

}  // namespace

// Guards against a stop that ends the process while a request waits for its
// upstream: the connection was closed without an answer.
TEST_CASE("a request that may have run is answered when a stop needs it",
          "[stop]") {
  for (const char* name : {"pull", "book"}) {
    small_tier tier;
    run_record port;
    request_run run = tier.Run(name, port);
    run.Start(kStart);
    run.FinishBy(kStart + milliseconds(900));
    Advance(run, kStart + milliseconds(899));
    CHECK(port.answers.empty());
    Advance(run, kStart + milliseconds(900));
    REQUIRE(port.answers.size() == 1);
    CHECK(port.Cause() == refusal::kStopped);
    CHECK_FALSE(IsProvenNotRun(port.Cause()));
    CHECK(port.open.empty());
  }
}

TEST_CASE("a request that cannot have run is refused when a stop needs it",
          "[stop]") {
  small_tier tier;
  run_record port;
  request_run run = tier.Run("book", port);
  run.Start(kStart);
  run.FinishBy(kStart + milliseconds(20));
  REQUIRE(port.sent.size() == 1);
  run.OnResult(1, Ended(attempt_end::kNotSent), kStart + milliseconds(17));
  Advance(run, kStart + milliseconds(20));
  REQUIRE(port.answers.size() == 1);
  CHECK(port.Cause() == refusal::kStopping);
  CHECK(IsProvenNotRun(port.Cause()));
  CHECK(std::get<refused_answer>(port.answers[0]).retry_after ==
        milliseconds(0));
}

TEST_CASE("a fan-out with enough parts is merged when a stop needs it",
          "[stop]") {
  small_tier tier;
  run_record port;
  request_run run = tier.Run("search", port);
  run.Start(kStart);
  REQUIRE(port.sent.size() == kShards);
  for (std::uint64_t number : {1U, 2U}) {
    port.open.erase(number);
    run.OnResult(number, Ended(attempt_end::kAnswered),
                 kStart + milliseconds(50));
  }
  run.FinishBy(kStart + milliseconds(900));
  Advance(run, kStart + milliseconds(900));
  REQUIRE(port.answers.size() == 1);
  CHECK(std::get<merged_answer>(port.answers[0]).missing == kShards - 2);
}

TEST_CASE("an upstream's failure is relayed when a stop needs the request",
          "[stop]") {
  small_tier tier;
  run_record port;
  request_run run = tier.Run("pull", port);
  run.Start(kStart);
  run.OnResult(1, Ended(attempt_end::kFailedAnswer), kStart + milliseconds(50));
  REQUIRE(port.answers.empty());
  run.FinishBy(kStart + milliseconds(900));
  Advance(run, kStart + milliseconds(900));
  REQUIRE(port.answers.size() == 1);
  CHECK(std::get<relayed_answer>(port.answers[0]).reply.status == 500);
}

TEST_CASE("attempts sent during a stop get no more time than it leaves",
          "[stop]") {
  small_tier tier;
  run_record port;
  request_run run = tier.Run("pull", port);
  run.FinishBy(kStart + milliseconds(700));
  run.Start(kStart);
  Advance(run, kStart + milliseconds(600));
  REQUIRE(port.sent.size() == 2);
  CHECK(port.sent[0].time_left == milliseconds(700));
  CHECK(port.sent[1].time_left < milliseconds(700));
}

TEST_CASE("a stop does not prolong a request", "[stop]") {
  small_tier tier;
  run_record port;
  request_run run = tier.Run("pull", port);
  run.Start(kStart);
  run.FinishBy(kStart + milliseconds(9000));
  Advance(run, kStart + milliseconds(5000));
  REQUIRE(port.answers.size() == 1);
  CHECK(port.Cause() == refusal::kTimedOut);
}

// Guards against a request that is owed an answer at the end of a stop,
// whatever its upstreams do and whenever the stop begins.
TEST_CASE("each request is answered once by the time that a stop sets",
          "[stop]") {
  std::mt19937 random(23);
  for (int round = 0; round < 600; ++round) {
    CAPTURE(round);
    small_tier tier;
    run_record port;
    const char* names[] = {"pull", "book", "search"};
    request_run run = tier.Run(names[round % 3], port);
    const milliseconds stop_at(random() % 1000);
    const monotonic_time end = kStart + stop_at + milliseconds(random() % 1500);
    bool told = false;
    bool ran = false;
    monotonic_time now = kStart;
    run.Start(now);
    while (!run.IsDone()) {
      if (!told && now >= kStart + stop_at) {
        told = true;
        run.FinishBy(end);
      }
      if (!port.open.empty() && random() % 4 == 0) {
        const std::uint64_t number = port.open.begin()->first;
        port.open.erase(number);
        constexpr attempt_end kEnds[] = {
            attempt_end::kFailedAnswer, attempt_end::kNotRun,
            attempt_end::kNotSent, attempt_end::kBroken,
            attempt_end::kAnswered};
        const attempt_end result = kEnds[random() % 5];
        ran = ran || (result != attempt_end::kNotRun &&
                      result != attempt_end::kNotSent);
        run.OnResult(number, Ended(result), now);
        continue;
      }
      now = std::max(now, std::min(run.NextTimer(), now + milliseconds(20)));
      run.OnTimer(now);
    }
    REQUIRE(port.answers.size() == 1);
    CHECK(port.open.empty());
    if (told) CHECK(now <= std::max(end, kStart + stop_at + milliseconds(20)));
    const auto* refused = std::get_if<refused_answer>(&port.answers[0]);
    if (refused != nullptr && IsProvenNotRun(refused->cause)) {
      CHECK_FALSE(ran);
      CHECK(port.abandoned == 0);
    }
  }
}

}  // namespace papayaglade
