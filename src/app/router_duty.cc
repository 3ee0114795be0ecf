#include "app/router_duty.h"

#include <algorithm>
#include <map>
#include <utility>

namespace papayaglade {

namespace {

constexpr std::chrono::milliseconds kTickPeriod{5};

caller_outcome Refuse(error_kind kind, std::string field, std::string message,
                      std::string remedy) {
  return not_run{
      {kind, std::move(field), std::move(message), std::move(remedy)}, {}};
}

}  // namespace

router_duty::router_duty(const instance_settings& settings,
                         const instance_identity& self, timer_service& timer,
                         peer_port& peers, platform_port& platform,
                         steward_ring& stewards, metrics_sink& metrics,
                         router_ring& inbox)
    : settings_(settings),
      self_(self),
      timer_(timer),
      peers_(peers),
      platform_(platform),
      stewards_(stewards),
      metrics_(metrics),
      inbox_(inbox) {}

router_duty::~router_duty() { Stop(); }

void router_duty::Start() {
  subscription_ = timer_.Subscribe(
      kTickPeriod, [this](monotonic_time now) { inbox_.TryPush(tick{now}); });
  thread_.Start("router", [this] { Run(); });
}

void router_duty::Stop() {
  timer_.Cancel(subscription_);
  inbox_.Close();
  thread_.Join();
}

void router_duty::Run() {
  router_event event;
  while (inbox_.Pop(event)) {
    std::visit([this](auto& each) { Handle(each); }, event);
  }
}

void router_duty::Handle(tick& event) {
  std::vector<std::uint64_t> late;
  for (const auto& each : queries_) {
    if (each.second.deadline <= event.now) late.push_back(each.first);
  }
  for (const std::uint64_t query_id : late) Finish(query_id);
}

void router_duty::Handle(view_update& event) { view_ = event.view; }

void router_duty::Handle(caller_event& event) {
  if (view_ == nullptr || view_->config == nullptr) {
    return event.reply(Refuse(error_kind::kUnavailable, "",
                              "no configuration is in force yet",
                              "ask another instance or try again"));
  }
  const service_definition* service = nullptr;
  const workload* work = nullptr;
  for (const service_definition& each : view_->config->services) {
    for (const workload& candidate : each.workloads) {
      if (candidate.name != event.request.workload) continue;
      service = &each;
      work = &candidate;
    }
  }
  const partition_map* map = nullptr;
  for (const service_snapshots& each : view_->snapshots) {
    const bool wanted = service != nullptr && each.service == service->name;
    if (wanted && !each.snapshots.empty()) map = &each.snapshots.front();
  }
  if (work == nullptr || map == nullptr) {
    return event.reply(Refuse(error_kind::kUnknownName, "/workload",
                              "unknown workload or no snapshot",
                              "name a workload of the configuration in force"));
  }
  const std::uint64_t query_id = last_attempt_ + 1;
  open_query query;
  query.event = event;
  query.deadline =
      event.arrival + event.request.deadline.value_or(work->deadline);
  query.first_attempt = query_id;
  query.details.request_id = event.request.request_id;
  query.details.workload = work->name;
  query.details.snapshot = map->snapshot;
  std::map<std::string, shard_batch> batches;
  for (const shard_placement& shard : map->shards) {
    const std::uint64_t attempt_id = ++last_attempt_;
    const std::string upstream = shard.replicas.front();
    query.details.shards.push_back({shard.shard, shard_outcome::kLate,
                                    shard_reason::kDeadline, upstream, 1,
                                    std::chrono::microseconds(0)});
    query_of_attempt_[attempt_id] = query_id;
    batches[StewardOf(upstream)].attempts.push_back(
        {attempt_id, shard.shard, upstream});
  }
  query.waiting = map->shards.size();
  const monotonic_time deadline = query.deadline;
  queries_.emplace(query_id, std::move(query));
  for (auto& each : batches) {
    shard_batch& batch = each.second;
    batch.origin = self_;
    batch.request_id = event.request.request_id;
    batch.service = service->name;
    batch.workload = work->name;
    batch.caller = event.request.caller;
    batch.priority = work->priority;
    batch.repeatable = work->repeatable;
    batch.snapshot = map->snapshot;
    batch.query = event.request.query;
    SendBatch(each.first, std::move(batch), deadline);
  }
}

void router_duty::Handle(results_event& event) {
  for (shard_result& result : event.results.results) {
    const auto owner = query_of_attempt_.find(result.attempt_id);
    if (owner == query_of_attempt_.end()) continue;
    const std::uint64_t query_id = owner->second;
    query_of_attempt_.erase(owner);
    open_query& query = queries_.at(query_id);
    shard_account& line =
        query.details.shards.at(result.attempt_id - query.first_attempt);
    line.reason = result.reason;
    line.time = result.queue_time + result.upstream_time;
    line.outcome = result.status == shard_status::kAnswered
                       ? shard_outcome::kAnswered
                       : shard_outcome::kRefused;
    std::move(result.hits.begin(), result.hits.end(),
              std::back_inserter(query.hits));
    if (--query.waiting == 0) Finish(query_id);
  }
}

void router_duty::Handle(peer_link_event& /*event*/) {}

void router_duty::Handle(platform_event& /*event*/) {}

void router_duty::Handle(status_query& event) { event.reply("{}"); }

void router_duty::Handle(explain_query& event) { event.reply(""); }

void router_duty::Handle(drain_event& event) { event.done(); }

std::string router_duty::StewardOf(const std::string& upstream) const {
  for (const roster& each : view_->rosters) {
    for (const steward_assignment& assignment : each.assignments) {
      if (assignment.upstream == upstream) return assignment.steward;
    }
  }
  return "";
}

void router_duty::SendBatch(const std::string& steward, shard_batch batch,
                            monotonic_time deadline) {
  batch.time_left = std::chrono::duration_cast<std::chrono::microseconds>(
      deadline - timer_.Now());
  if (steward == self_.name) {
    stewards_.TryPush(batch_event{std::move(batch), deadline});
  } else if (!steward.empty()) {
    peers_.Send(steward, std::move(batch));
  }
}

void router_duty::Finish(std::uint64_t query_id) {
  open_query query = std::move(queries_.at(query_id));
  queries_.erase(query_id);
  std::size_t covered = 0;
  for (const shard_account& line : query.details.shards) {
    if (line.outcome == shard_outcome::kAnswered) ++covered;
  }
  for (std::size_t i = 0; i < query.details.shards.size(); ++i) {
    query_of_attempt_.erase(query.first_attempt + i);
  }
  query.details.coverage = static_cast<double>(covered) /
                           static_cast<double>(query.details.shards.size());
  std::sort(query.hits.begin(), query.hits.end(),
            [](const hit& a, const hit& b) { return a.score > b.score; });
  query.event.reply(answered{std::move(query.hits), query.details});
}

}  // namespace papayaglade
