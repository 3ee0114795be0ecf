#include "coordination/query_engine.h"

#include <algorithm>

#include "coordination/request_check.h"

namespace papayaglade {

namespace {

// After this delay queries dial the steward again even if its link was last
// reported down.
constexpr std::chrono::milliseconds kStewardRetryDelay{500};

std::chrono::milliseconds Since(monotonic_time start, monotonic_time end) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(end - start);
}

}  // namespace

query_engine::query_engine(const instance_identity& self,
                           std::string data_centre, std::size_t max_open,
                           std::uint64_t seed)
    : data_centre_(std::move(data_centre)), max_open_(max_open) {
  context_.self = self;
  context_.random.seed(seed);
}

void query_engine::SetView(const std::shared_ptr<const cluster_view>& view,
                           monotonic_time now) {
  context_.routes = std::make_shared<const routing_table>(
      view, data_centre_, context_.upstreams, context_.stewards);
  ApplyToAll(now, [now](auto& each) { each.OnRoutes(now); });
}

std::variant<std::uint64_t, error> query_engine::Open(caller_request request,
                                                      monotonic_time arrival,
                                                      monotonic_time now) {
  if (context_.routes == nullptr) {
    return error{error_kind::kUnavailable, "",
                 "no configuration is in force yet",
                 "nothing ran: ask another instance or try again"};
  }
  const workload_route route = context_.routes->FindWorkload(request.workload);
  std::optional<error> fault = CheckRequest(request, route);
  if (fault.has_value()) return *std::move(fault);
  if (open_requests_.size() >= max_open_) {
    return error{error_kind::kOverloaded, "",
                 "this instance has too many requests in progress",
                 "nothing ran: try again, or ask another instance"};
  }
  query_spec spec;
  spec.number = ++last_query_;
  spec.routes = context_.routes;
  spec.route = route;
  spec.start = arrival;
  spec.deadline = arrival + request.deadline.value_or(route.work->deadline);
  spec.request = std::move(request);
  if (stop_.has_value() && !MayTakeWhileStopping(spec, now)) {
    return error{error_kind::kUnavailable, "",
                 "this instance is stopping and may have too little time left "
                 "for the request",
                 "nothing ran: ask another instance"};
  }
  const std::uint64_t number = spec.number;
  open_request opened{
      route.work->repeatable
          ? run(query_run(std::move(spec), context_, StateOf(*route.work)))
          : run(single_run(std::move(spec), context_)),
      route.work->name, arrival, monotonic_time()};
  open_requests_.emplace(number, std::move(opened));
  Apply(number, now, [this, now](auto& each) {
    if (stop_.has_value()) each.FinishBy(stop_->AnswerBy());
    each.Start(now);
  });
  return number;
}

void query_engine::OnResults(shard_results& message, monotonic_time now) {
  // Flushing once for each query puts the retries caused by one message into
  // one batch.
  std::vector<std::uint64_t> affected;
  for (shard_result& result : message.results) {
    const std::uint64_t query = QueryOfAttempt(result.attempt_id);
    const auto found = open_requests_.find(query);
    if (found == open_requests_.end()) continue;
    std::visit([&](auto& each) { each.OnResult(result, now); },
               found->second.state);
    if (affected.empty() || affected.back() != query) affected.push_back(query);
  }
  for (const std::uint64_t query : affected) {
    Apply(query, now, [](auto& /*each*/) {});
  }
}

void query_engine::OnStewardLink(const std::string& steward, bool up,
                                 monotonic_time now) {
  const std::uint32_t number = context_.stewards.NumberOf(steward);
  if (up) return context_.replicas.SetStewardUp(number);
  context_.replicas.SetStewardDown(number, now + kStewardRetryDelay);
  ApplyToAll(now,
             [number, now](auto& each) { each.OnStewardDown(number, now); });
}

void query_engine::OnClaim(std::uint64_t query, const claim_reply& reply,
                           monotonic_time now) {
  Apply(query, now, [&](auto& each) {
    using type = std::decay_t<decltype(each)>;
    if constexpr (std::is_same_v<type, single_run>) each.OnClaim(reply, now);
  });
}

void query_engine::OnTimer(monotonic_time now) {
  while (!timers_.empty() && timers_.begin()->first <= now) {
    const std::uint64_t query = timers_.begin()->second;
    Apply(query, now, [now](auto& each) { each.OnTimer(now); });
  }
}

void query_engine::BeginStop(const shutdown_plan& plan, monotonic_time now) {
  stop_ = plan;
  ApplyToAll(now, [&plan](auto& each) { each.FinishBy(plan.AnswerBy()); });
}

bool query_engine::MayHaveRun(std::uint64_t query) const {
  const auto found = open_requests_.find(query);
  if (found == open_requests_.end()) return false;
  const auto sent = [](const auto& each) {
    return each.Counts().first_attempts > 0;
  };
  return std::visit(sent, found->second.state);
}

std::optional<monotonic_time> query_engine::NextTimer() const {
  if (timers_.empty()) return std::nullopt;
  return timers_.begin()->first;
}

std::vector<workload_status> query_engine::Workloads() const {
  std::vector<workload_status> all;
  for (const auto& each : workloads_) {
    const double percentile = hedge_percentiles_.at(each.first);
    all.push_back({each.first, each.second->latencies.Delay(percentile)});
  }
  return all;
}

std::vector<engine_action> query_engine::TakeActions() {
  return std::exchange(actions_, {});
}

template <typename Event>
void query_engine::Apply(std::uint64_t query, monotonic_time now,
                         const Event& event) {
  const auto found = open_requests_.find(query);
  if (found == open_requests_.end()) return;
  std::visit(event, found->second.state);
  CollectActions(query, found->second, now);
}

template <typename Event>
void query_engine::ApplyToAll(monotonic_time now, const Event& event) {
  std::vector<std::uint64_t> queries;
  queries.reserve(open_requests_.size());
  for (const auto& each : open_requests_) queries.push_back(each.first);
  std::sort(queries.begin(), queries.end());
  for (const std::uint64_t query : queries) Apply(query, now, event);
}

void query_engine::CollectActions(std::uint64_t query, open_request& request,
                                  monotonic_time now) {
  query_actions requested;
  const auto flush = [&](auto& each) { each.Flush(now, requested); };
  std::visit(flush, request.state);
  for (query_action& each : requested) {
    if (const auto* settled = std::get_if<settle_request>(&each)) {
      OnAnswered(request, settled->counts, now);
    }
    actions_.push_back({query, std::move(each)});
  }
  timers_.erase({request.next_timer, query});
  const auto over = [](const auto& each) { return each.IsOver(); };
  if (std::visit(over, request.state)) {
    open_requests_.erase(query);
    return;
  }
  const auto next = [](const auto& each) { return each.NextTimer(); };
  request.next_timer = std::visit(next, request.state);
  timers_.insert({request.next_timer, query});
}

void query_engine::OnAnswered(open_request& request,
                              const attempt_counts& counts,
                              monotonic_time now) {
  request.is_answered = true;
  if (counts.first_attempts == 0) return;
  durations_.Add(request.workload, Since(request.start, now), now);
}

bool query_engine::MayTakeWhileStopping(const query_spec& spec,
                                        monotonic_time now) const {
  const workload& work = *spec.route.work;
  std::vector<std::chrono::milliseconds> in_progress;
  for (const auto& each : open_requests_) {
    const open_request& other = each.second;
    if (!other.is_answered && other.workload == work.name)
      in_progress.push_back(Since(other.start, now));
  }
  return stop_->MayTake(
      durations_.TimeNeededNext(work.name, work.repeatable,
                                Since(now, spec.deadline), in_progress, now),
      now);
}

workload_state& query_engine::StateOf(const workload& work) {
  hedge_percentiles_[work.name] = work.hedge_percentile;
  std::unique_ptr<workload_state>& state = workloads_[work.name];
  if (state == nullptr) {
    state = std::make_unique<workload_state>(work.extra_load);
  }
  state->extra_load.SetShare(work.extra_load);
  return *state;
}

}  // namespace papayaglade
