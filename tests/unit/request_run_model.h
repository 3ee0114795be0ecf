#ifndef PAPAYAGLADE_TESTS_UNIT_REQUEST_RUN_MODEL_H_
#define PAPAYAGLADE_TESTS_UNIT_REQUEST_RUN_MODEL_H_

#include <catch2/catch.hpp>
#include <catch2/trompeloeil.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "coordination/request_run.h"

namespace papayaglade {

inline constexpr monotonic_time kStart{std::chrono::hours(1)};
inline constexpr std::size_t kShards = 20;

/// Expects calls of a run.
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
    search.timeout = std::chrono::milliseconds(1200);
    search.latency_target = std::chrono::milliseconds(200);
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
    pull.timeout = std::chrono::milliseconds(5000);
    pull.latency_target = std::chrono::milliseconds(800);
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
                  std::optional<std::chrono::milliseconds> left =
                      std::chrono::milliseconds(1200)) {
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

attempt_result Part(const std::string& signature);

attempt_result Ended(attempt_end end);

/// Answers all open attempts except those of `excluded` shards.
void AnswerAllExcept(request_run& run, recording_port& port,
                     const std::vector<std::size_t>& excluded,
                     monotonic_time now);

/// Runs the timers that are due by `until`.
void Advance(request_run& run, monotonic_time until);

refusal CauseOf(const entry_answer& answer);

}  // namespace papayaglade

#endif  // PAPAYAGLADE_TESTS_UNIT_REQUEST_RUN_MODEL_H_
