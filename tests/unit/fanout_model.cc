#include "fanout_model.h"

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>

#include "coordination/abandoned_attempt.h"
#include "coordination/request_run.h"
#include "coordination/timer_queue.h"

namespace papayaglade {

namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr monotonic_time kStart{std::chrono::hours(1)};

class fanout_simulation;
class simulated_request;

/// The request of an attempt and the attempt's number within it.
using simulated_attempt_id = std::pair<const simulated_request*, std::uint64_t>;

/// Runs requests in the order of their arrival, a few at a time.
class queueing_upstream {
 public:
  using start_handler = std::function<void()>;

  explicit queueing_upstream(std::size_t slots) : slots_(slots) {}

  /// Calls `start` once a slot is free.
  void Add(const simulated_attempt_id& id, start_handler start) {
    queue_.push_back({id, std::move(start)});
    StartNext();
  }

  /// Removes the request, whether it runs or waits.
  void Remove(const simulated_attempt_id& id) {
    running_.erase(id);
    queue_.remove_if(
        [&](const waiting_request& each) { return each.id == id; });
    StartNext();
  }

 private:
  struct waiting_request {
    simulated_attempt_id id;
    start_handler start;
  };

  void StartNext() {
    while (!queue_.empty() && (slots_ == 0 || running_.size() < slots_)) {
      const waiting_request next = std::move(queue_.front());
      queue_.pop_front();
      running_.insert(next.id);
      next.start();
    }
  }

  std::size_t slots_;
  std::set<simulated_attempt_id> running_;
  std::list<waiting_request> queue_;
};

/// One request of the simulation.
class simulated_request : public run_port {
 public:
  simulated_request(fanout_simulation& owner, request_run::context context);

  void Start(monotonic_time now);
  void Send(const attempt& attempt) override;
  void Abandon(std::uint64_t number) override;
  void Finish(entry_answer answer) override;
  void HandleTimer(monotonic_time now);

 private:
  struct open_attempt {
    upstream_pointer upstream;
    monotonic_time begun;
    bool abandoned = false;
  };

  void Run(std::uint64_t number);
  void OnAnswer(std::uint64_t number, monotonic_time now);
  void Cancel(std::uint64_t number, monotonic_time now);

  fanout_simulation& owner_;
  monotonic_time arrival_;
  request_run run_;
  std::map<std::uint64_t, open_attempt> open_;
};

class fanout_simulation {
 public:
  explicit fanout_simulation(const fanout_scenario& scenario)
      : scenario(scenario),
        random(scenario.seed),
        directory("dc-0", shutdown_timeouts(), warmup_limits()),
        policy(repeat_limits{0.2, 158, std::chrono::seconds(10)}) {
    policy.SetInstances(scenario.instances);
    directory.SetFleet({scenario.instances, 0});
    auto made = std::make_shared<tier_configuration>();
    route search;
    search.name = "search";
    search.idempotent = true;
    search.max_attempts = 2;
    search.timeout = scenario.deadline;
    search.latency_target = scenario.target;
    fanout_target target;
    target.minimum_coverage = scenario.minimum_coverage;
    for (std::size_t i = 0; i < scenario.shards; ++i) {
      target.shards.push_back("shard-" + std::to_string(i));
      AddService(*made, target.shards.back());
    }
    search.target = target;
    made->routes.push_back(search);
    configuration = made;
    directory.SetConfiguration(made);
  }

  fanout_outcome Run() {
    for (std::size_t i = 0; i < scenario.requests; ++i) {
      timers.Schedule(kStart + i * scenario.request_interval,
                      [this, i](monotonic_time now) {
                        if (i == scenario.requests / 3) SlowSomeUpstreams();
                        Ask(now);
                      });
    }
    while (timers.Next().has_value()) {
      now = *timers.Next();
      timers.RunDue(now);
    }
    outcome.coverage /=
        static_cast<double>(std::max<std::size_t>(1, outcome.in_time));
    outcome.repeat_share =
        static_cast<double>(repeats) /
        static_cast<double>(scenario.requests * scenario.shards);
    return outcome;
  }

  microseconds ServiceTime(const std::string& upstream) {
    std::lognormal_distribution<double> spread(0, 0.35);
    double taken = spread(random) *
                   static_cast<double>(scenario.mean_service_time.count());
    if (slow_upstreams.count(upstream) != 0) taken *= scenario.slow_factor;
    return microseconds(static_cast<std::int64_t>(1000 * taken));
  }

  /// Returns the end of a request that starts now and takes `service_time`
  /// without the pauses of the upstream.
  monotonic_time EndOfService(const std::string& upstream,
                              microseconds service_time) {
    if (scenario.pause.count() == 0) return now + service_time;
    const microseconds interval = scenario.pause_interval;
    const microseconds offset(
        static_cast<std::int64_t>(std::hash<std::string>()(upstream) %
                                  static_cast<std::size_t>(interval.count())));
    const microseconds in_interval =
        duration_cast<microseconds>(now.time_since_epoch() + offset) % interval;
    if (in_interval < scenario.pause) {
      return now + scenario.pause - in_interval + service_time;
    }
    const bool pauses = in_interval + service_time > interval;
    return now + service_time + (pauses ? scenario.pause : milliseconds(0));
  }

  fanout_scenario scenario;
  std::mt19937 random;
  upstream_directory directory;
  attempt_policy policy;
  std::shared_ptr<const tier_configuration> configuration;
  timer_queue timers;
  monotonic_time now = kStart;
  std::set<std::string> slow_upstreams;
  std::map<std::string, queueing_upstream> upstreams;
  std::vector<std::unique_ptr<simulated_request>> started_requests;
  fanout_outcome outcome;
  std::size_t repeats = 0;

 private:
  void AddService(tier_configuration& to, const std::string& name) {
    service_limits limits;
    limits.name = name;
    limits.connections = scenario.instances * scenario.connections;
    to.services[name] = limits;
    for (std::size_t i = 0; i < scenario.upstreams_per_shard; ++i) {
      upstream_record record;
      record.id = name + "-" + std::to_string(i);
      record.service = name;
      record.data_centre = "dc-" + std::to_string(i);
      record.slots = 2;
      directory.Update(record, kStart);
      upstreams.emplace(record.id, queueing_upstream(scenario.slots));
    }
  }

  void SlowSomeUpstreams() {
    std::bernoulli_distribution chosen(scenario.slow_share);
    for (const auto& each : directory.All()) {
      if (chosen(random)) slow_upstreams.insert(each.first);
    }
  }

  void Ask(monotonic_time now) {
    request_run::context context;
    context.configuration = configuration;
    context.matched_route = &configuration->routes.front();
    context.arrival = now;
    context.time_left = scenario.deadline;
    started_requests.push_back(
        std::make_unique<simulated_request>(*this, std::move(context)));
    started_requests.back()->Start(now);
  }
};

simulated_request::simulated_request(fanout_simulation& owner,
                                     request_run::context context)
    : owner_(owner),
      arrival_(context.arrival),
      run_(std::move(context), owner.directory, owner.policy, *this) {}

void simulated_request::Start(monotonic_time now) {
  run_.Start(now);
  HandleTimer(now);
}

void simulated_request::Send(const attempt& attempt) {
  if (attempt.is_repeat) ++owner_.repeats;
  const std::uint64_t number = attempt.number;
  open_[number] = {attempt.upstream, owner_.now, false};
  attempt.upstream->health.BeginAttempt(owner_.now, owner_.scenario.deadline);
  owner_.upstreams.at(attempt.upstream->record.id)
      .Add({this, number}, [this, number] { Run(number); });
}

void simulated_request::Run(std::uint64_t number) {
  const std::string& upstream = open_[number].upstream->record.id;
  owner_.timers.Schedule(
      owner_.EndOfService(upstream, owner_.ServiceTime(upstream)),
      [this, number](monotonic_time now) { OnAnswer(number, now); });
}

void simulated_request::Abandon(std::uint64_t number) {
  const auto found = open_.find(number);
  if (found == open_.end()) return;
  found->second.abandoned = true;
  const milliseconds timeout = AbandonedAttemptTimeout(
      duration_cast<microseconds>(owner_.now - found->second.begun),
      owner_.policy.MedianLatency(run_.Route()));
  owner_.timers.Schedule(
      owner_.now + timeout,
      [this, number](monotonic_time now) { Cancel(number, now); });
}

void simulated_request::Cancel(std::uint64_t number, monotonic_time now) {
  const auto found = open_.find(number);
  if (found == open_.end()) return;
  const open_attempt ended = found->second;
  open_.erase(found);
  ended.upstream->health.RecordLate(
      ended.begun, owner_.policy.MedianLatency(run_.Route()), now);
  owner_.upstreams.at(ended.upstream->record.id).Remove({this, number});
}

// An abandoned attempt ends too, and its latency is recorded.
void simulated_request::OnAnswer(std::uint64_t number, monotonic_time now) {
  const auto found = open_.find(number);
  if (found == open_.end()) return;
  const open_attempt ended = found->second;
  open_.erase(found);
  owner_.upstreams.at(ended.upstream->record.id).Remove({this, number});
  ended.upstream->health.RecordAnswer(
      ended.begun, owner_.policy.MedianLatency(run_.Route()), now);
  owner_.policy.RecordLatency(run_.Route(),
                              duration_cast<microseconds>(now - ended.begun));
  if (ended.abandoned) return;
  attempt_result result;
  result.end = attempt_end::kAnswered;
  result.reply.signature = std::to_string(number);
  run_.OnResult(number, std::move(result), now);
}

void simulated_request::HandleTimer(monotonic_time now) {
  if (run_.IsDone()) return;
  run_.OnTimer(now);
  if (run_.IsDone()) return;
  owner_.timers.Schedule(std::max(run_.NextTimer(), now + milliseconds(1)),
                         [this](monotonic_time when) { HandleTimer(when); });
}

void simulated_request::Finish(entry_answer answer) {
  const auto* merged = std::get_if<merged_answer>(&answer);
  const bool in_time = owner_.now - arrival_ <= owner_.scenario.target;
  if (merged == nullptr || !in_time) return;
  ++owner_.outcome.in_time;
  owner_.outcome.coverage += static_cast<double>(merged->signatures.size()) /
                             static_cast<double>(owner_.scenario.shards);
}

}  // namespace

fanout_outcome SimulateFanouts(const fanout_scenario& scenario) {
  return fanout_simulation(scenario).Run();
}

}  // namespace papayaglade
