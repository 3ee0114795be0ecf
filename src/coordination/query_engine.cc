#include "coordination/query_engine.h"

#include <algorithm>

#include "coordination/request_check.h"

namespace papayaglade {

namespace {

// After this a query dials the steward again, whatever was last heard.
constexpr std::chrono::milliseconds kStewardDownFor{500};

}  // namespace

query_engine::query_engine(const instance_identity& self,
                           std::string data_centre, std::size_t most_open,
                           std::uint64_t seed)
    : data_centre_(std::move(data_centre)), most_open_(most_open) {
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
  if (open_.size() >= most_open_) {
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
  const std::uint64_t number = spec.number;
  open_request opened{
      route.work->repeatable
          ? run(query_run(std::move(spec), context_, StateOf(*route.work)))
          : run(single_run(std::move(spec), context_)),
      monotonic_time()};
  open_.emplace(number, std::move(opened));
  Apply(number, now, [now](auto& each) { each.Start(now); });
  return number;
}

void query_engine::OnResults(shard_results& message, monotonic_time now) {
  // Flushing once for each query keeps retries of one message together.
  std::vector<std::uint64_t> touched;
  for (shard_result& result : message.results) {
    const std::uint64_t query = QueryOfAttempt(result.attempt_id);
    const auto found = open_.find(query);
    if (found == open_.end()) continue;
    std::visit([&](auto& each) { each.OnResult(result, now); },
               found->second.state);
    if (touched.empty() || touched.back() != query) touched.push_back(query);
  }
  for (const std::uint64_t query : touched) {
    Apply(query, now, [](auto& /*each*/) {});
  }
}

void query_engine::OnStewardLink(const std::string& steward, bool up,
                                 monotonic_time now) {
  const std::uint32_t number = context_.stewards.NumberOf(steward);
  if (up) return context_.replicas.SetStewardUp(number);
  context_.replicas.SetStewardDown(number, now + kStewardDownFor);
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

void query_engine::OnTime(monotonic_time now) {
  while (!due_.empty() && due_.begin()->first <= now) {
    const std::uint64_t query = due_.begin()->second;
    Apply(query, now, [now](auto& each) { each.OnTime(now); });
  }
}

std::optional<monotonic_time> query_engine::NextDue() const {
  if (due_.empty()) return std::nullopt;
  return due_.begin()->first;
}

std::vector<workload_status> query_engine::Workloads() const {
  std::vector<workload_status> all;
  for (const auto& each : workloads_) {
    const double percentile = hedge_percentiles_.at(each.first);
    all.push_back({each.first, each.second->times.Delay(percentile)});
  }
  return all;
}

std::vector<engine_action> query_engine::TakeActions() {
  return std::exchange(actions_, {});
}

template <typename Event>
void query_engine::Apply(std::uint64_t query, monotonic_time now,
                         const Event& event) {
  const auto found = open_.find(query);
  if (found == open_.end()) return;
  std::visit(event, found->second.state);
  AfterEvent(query, found->second, now);
}

template <typename Event>
void query_engine::ApplyToAll(monotonic_time now, const Event& event) {
  std::vector<std::uint64_t> queries;
  queries.reserve(open_.size());
  for (const auto& each : open_) queries.push_back(each.first);
  std::sort(queries.begin(), queries.end());
  for (const std::uint64_t query : queries) Apply(query, now, event);
}

void query_engine::AfterEvent(std::uint64_t query, open_request& request,
                              monotonic_time now) {
  query_actions wanted;
  const auto flush = [&](auto& each) { each.Flush(now, wanted); };
  std::visit(flush, request.state);
  for (query_action& each : wanted) {
    actions_.push_back({query, std::move(each)});
  }
  due_.erase({request.due, query});
  const auto over = [](const auto& each) { return each.IsOver(); };
  if (std::visit(over, request.state)) {
    open_.erase(query);
    return;
  }
  const auto next = [](const auto& each) { return each.NextDue(); };
  request.due = std::visit(next, request.state);
  due_.insert({request.due, query});
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
