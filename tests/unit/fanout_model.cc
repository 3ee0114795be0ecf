#include "fanout_model.h"

#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>

#include "coordination/request_run.h"
#include "coordination/wake_queue.h"

namespace papayaglade {

namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr monotonic_time kStart{std::chrono::hours(1)};

class model;

/// One request of the model.
class model_request : public run_port {
 public:
  model_request(model& owner, request_run::context context);

  void Start(monotonic_time now);
  void Send(const attempt& attempt) override;
  void Abandon(std::uint64_t number) override {
    open_[number].abandoned = true;
  }
  void Finish(entry_answer answer) override;
  void Wake(monotonic_time now);

 private:
  struct open_attempt {
    upstream_pointer upstream;
    monotonic_time begun;
    bool abandoned = false;
  };

  void OnAnswer(std::uint64_t number, monotonic_time now);

  model& owner_;
  monotonic_time arrival_;
  request_run run_;
  std::map<std::uint64_t, open_attempt> open_;
};

class model {
 public:
  explicit model(const fanout_load& load)
      : load(load),
        random(load.seed),
        directory("dc-0", shutdown_timeouts(), warmup_limits()),
        policy(repeat_limits{0.2, 158, std::chrono::seconds(10)}) {
    policy.SetInstances(load.instances);
    directory.SetFleet({load.instances, 0});
    auto made = std::make_shared<tier_configuration>();
    route search;
    search.name = "search";
    search.idempotent = true;
    search.max_attempts = 2;
    search.timeout = load.deadline;
    search.latency_target = load.target;
    fanout_target target;
    target.minimum_coverage = load.minimum_coverage;
    for (std::size_t i = 0; i < load.shards; ++i) {
      target.shards.push_back("shard-" + std::to_string(i));
      AddService(*made, target.shards.back());
    }
    search.target = target;
    made->routes.push_back(search);
    configuration = made;
    directory.SetConfiguration(made);
  }

  fanout_outcome Play() {
    for (std::size_t i = 0; i < load.requests; ++i) {
      wakes.Schedule(kStart + i * load.between, [this, i](monotonic_time now) {
        if (i == load.requests / 3) SlowDown();
        Ask(now);
      });
    }
    while (wakes.Next().has_value()) {
      now = *wakes.Next();
      wakes.RunDue(now);
    }
    outcome.coverage /=
        static_cast<double>(std::max<std::size_t>(1, outcome.in_time));
    outcome.repeat_share = static_cast<double>(repeats) /
                           static_cast<double>(load.requests * load.shards);
    return outcome;
  }

  microseconds Work(const std::string& upstream) {
    std::lognormal_distribution<double> spread(0, 0.35);
    double taken = spread(random) * static_cast<double>(load.work.count());
    if (slow.count(upstream) != 0) taken *= load.slow_factor;
    return microseconds(static_cast<std::int64_t>(1000 * taken));
  }

  fanout_load load;
  std::mt19937 random;
  upstream_directory directory;
  attempt_policy policy;
  std::shared_ptr<const tier_configuration> configuration;
  wake_queue wakes;
  monotonic_time now = kStart;
  std::set<std::string> slow;
  std::vector<std::unique_ptr<model_request>> asked;
  fanout_outcome outcome;
  std::size_t repeats = 0;

 private:
  void AddService(tier_configuration& to, const std::string& name) {
    service_limits limits;
    limits.name = name;
    limits.connections = load.instances * 4;
    to.services[name] = limits;
    for (std::size_t i = 0; i < load.upstreams; ++i) {
      upstream_record record;
      record.id = name + "-" + std::to_string(i);
      record.service = name;
      record.data_centre = "dc-" + std::to_string(i);
      record.slots = 2;
      directory.Update(record, kStart);
    }
  }

  void SlowDown() {
    std::bernoulli_distribution chosen(load.slow_share);
    for (const auto& each : directory.All()) {
      if (chosen(random)) slow.insert(each.first);
    }
  }

  void Ask(monotonic_time now) {
    request_run::context context;
    context.configuration = configuration;
    context.target = &configuration->routes.front();
    context.arrival = now;
    context.time_left = load.deadline;
    asked.push_back(std::make_unique<model_request>(*this, std::move(context)));
    asked.back()->Start(now);
  }
};

model_request::model_request(model& owner, request_run::context context)
    : owner_(owner),
      arrival_(context.arrival),
      run_(std::move(context), owner.directory, owner.policy, *this) {}

void model_request::Start(monotonic_time now) {
  run_.Start(now);
  Wake(now);
}

void model_request::Send(const attempt& attempt) {
  if (attempt.repeat) ++owner_.repeats;
  const std::uint64_t number = attempt.number;
  open_[number] = {attempt.upstream, owner_.now, false};
  attempt.upstream->health.BeginAttempt(owner_.now, owner_.load.deadline);
  const microseconds work = owner_.Work(attempt.upstream->record.id);
  owner_.wakes.Schedule(owner_.now + work, [this, number](monotonic_time now) {
    OnAnswer(number, now);
  });
}

// An attempt that was abandoned ends too, and is learnt from.
void model_request::OnAnswer(std::uint64_t number, monotonic_time now) {
  const auto found = open_.find(number);
  if (found == open_.end()) return;
  const open_attempt ended = found->second;
  open_.erase(found);
  ended.upstream->health.Answered(ended.begun,
                                  owner_.policy.Usual(run_.Route()), now);
  owner_.policy.Observe(run_.Route(),
                        duration_cast<microseconds>(now - ended.begun));
  if (ended.abandoned) return;
  attempt_result result;
  result.end = attempt_end::kAnswered;
  result.reply.signature = std::to_string(number);
  run_.OnResult(number, std::move(result), now);
}

void model_request::Wake(monotonic_time now) {
  if (run_.Done()) return;
  run_.OnWake(now);
  if (run_.Done()) return;
  owner_.wakes.Schedule(std::max(run_.NextWake(), now + milliseconds(1)),
                        [this](monotonic_time when) { Wake(when); });
}

void model_request::Finish(entry_answer answer) {
  const auto* merged = std::get_if<merged_answer>(&answer);
  const bool in_time = owner_.now - arrival_ <= owner_.load.target;
  if (merged == nullptr || !in_time) return;
  ++owner_.outcome.in_time;
  owner_.outcome.coverage += static_cast<double>(merged->signatures.size()) /
                             static_cast<double>(owner_.load.shards);
}

}  // namespace

fanout_outcome PlayFanouts(const fanout_load& load) {
  return model(load).Play();
}

}  // namespace papayaglade
