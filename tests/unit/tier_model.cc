#include "tier_model.h"

#include <algorithm>
#include <catch2/catch.hpp>

namespace papayaglade {

namespace {

constexpr std::size_t kMaxOpen = 64;

}  // namespace

tier_model::tier_model(int shards, std::uint64_t seed)
    : engine({"entry", 7}, "a", kMaxOpen, seed),
      config_(std::make_shared<configuration>()),
      view_(std::make_shared<cluster_view>()) {
  service_definition service;
  service.name = "answers";
  service.workloads.push_back({});
  service.workloads[0].name = "lookup";
  roster near;
  near.data_centre = "a";
  near.epoch = 1;
  roster far;
  far.data_centre = "b";
  far.epoch = 1;
  for (int i = 0; i < shards; ++i) {
    const std::string name = "u" + std::to_string(i);
    service.upstreams.push_back({name + "-a", "a", {}, {}});
    service.upstreams.push_back({name + "-b", "b", {}, {}});
    near.assignments.push_back({name + "-a", "sa"});
    far.assignments.push_back({name + "-b", "sb"});
  }
  config_->services.push_back(std::move(service));
  view_->config = config_;
  view_->rosters = {near, far};
  view_->snapshots.push_back({"answers", {}});
  AddSnapshot(1, shards);
  PushView();
}

void tier_model::AddSnapshot(std::uint64_t snapshot, int shards) {
  partition_map map;
  map.snapshot = snapshot;
  for (int i = 0; i < shards; ++i) {
    const std::string number = std::to_string(i);
    map.shards.push_back(
        {"s" + number, {"u" + number + "-a", "u" + number + "-b"}});
  }
  view_->snapshots[0].snapshots.push_back(std::move(map));
}

caller_request tier_model::Request() {
  caller_request request;
  request.request_id = "r";
  request.workload = "lookup";
  request.query = "price";
  return request;
}

std::uint64_t tier_model::Ask(caller_request request) {
  const auto opened = engine.Open(std::move(request), now, now);
  REQUIRE(std::holds_alternative<std::uint64_t>(opened));
  CollectActions();
  return std::get<std::uint64_t>(opened);
}

void tier_model::DeliverResult(std::uint64_t attempt_id, shard_status status,
                               shard_reason reason, std::uint64_t snapshot) {
  shard_results message;
  message.results.push_back(
      {attempt_id, status, reason, snapshot, {}, {}, {}, {}});
  engine.OnResults(message, now);
  CollectActions();
}

void tier_model::Advance(std::chrono::microseconds by) {
  CollectActions();
  const monotonic_time end = now + by;
  while (true) {
    const auto due = engine.NextTimer();
    const bool result_first =
        !planned_.empty() &&
        (!due.has_value() || planned_.begin()->first <= *due);
    if (result_first && planned_.begin()->first <= end) {
      now = planned_.begin()->first;
      shard_results message;
      message.results.push_back(planned_.begin()->second);
      planned_.erase(planned_.begin());
      engine.OnResults(message, now);
    } else if (due.has_value() && *due <= end) {
      now = std::max(now, *due);
      engine.OnTimer(now);
    } else {
      break;
    }
    CollectActions();
  }
  now = end;
}

const caller_outcome& tier_model::OutcomeOf(std::uint64_t query) const {
  REQUIRE(outcomes.count(query) == 1);
  return outcomes.at(query);
}

void tier_model::CollectActions() {
  for (engine_action& each : engine.TakeActions()) {
    if (auto* batch = std::get_if<send_batch>(&each.action)) {
      ++batches;
      for (const shard_attempt& attempt : batch->batch.attempts) {
        sent.push_back({batch->steward, batch->batch.snapshot, attempt, now});
        if (!upstreams) continue;
        std::optional<planned_result> end = upstreams(sent.back());
        if (!end.has_value()) continue;
        end->result.attempt_id = attempt.attempt_id;
        planned_.emplace(now + end->delay, std::move(end->result));
      }
    } else if (auto* cancel = std::get_if<cancel_attempts>(&each.action)) {
      cancelled.insert(cancelled.end(), cancel->attempt_ids.begin(),
                       cancel->attempt_ids.end());
    } else if (auto* settled = std::get_if<settle_request>(&each.action)) {
      REQUIRE(outcomes.count(each.query) == 0);
      outcomes.emplace(each.query, std::move(settled->outcome));
      settled_at[each.query] = now;
      totals.first_attempts += settled->counts.first_attempts;
      totals.retries += settled->counts.retries;
      totals.hedges += settled->counts.hedges;
    }
  }
}

planned_result Answer(const sent_attempt& seen,
                      std::chrono::microseconds delay) {
  planned_result end = End(shard_status::kAnswered, shard_reason::kNone);
  end.delay = delay;
  end.result.snapshot = seen.snapshot;
  end.result.hits.push_back({seen.attempt.shard, 1.0, "text"});
  return end;
}

planned_result End(shard_status status, shard_reason reason) {
  planned_result end;
  end.result.status = status;
  end.result.reason = reason;
  return end;
}

}  // namespace papayaglade
