#include "coordination/routing_table.h"

#include <algorithm>
#include <utility>

namespace papayaglade {

namespace {

const upstream_route kUnknownRoute;

std::shared_ptr<const snapshot_plan> PlanOf(const partition_map& map,
                                            name_index& upstreams) {
  auto plan = std::make_shared<snapshot_plan>();
  plan->snapshot = map.snapshot;
  plan->shards.reserve(map.shards.size());
  for (const shard_placement& placement : map.shards) {
    shard_plan shard;
    shard.shard = placement.shard;
    for (const std::string& replica : placement.replicas) {
      shard.replicas.push_back(upstreams.NumberOf(replica));
    }
    plan->shards.push_back(std::move(shard));
  }
  return plan;
}

}  // namespace

routing_table::routing_table(std::shared_ptr<const cluster_view> view,
                             const std::string& own_data_centre,
                             name_index& upstreams, name_index& stewards)
    : view_(std::move(view)) {
  if (view_->config == nullptr) return;
  for (const service_definition& service : view_->config->services) {
    AddService(service, own_data_centre, upstreams);
  }
  AddStewards(upstreams, stewards);
}

workload_route routing_table::FindWorkload(const std::string& workload) const {
  const auto found = workloads_.find(workload);
  return found == workloads_.end() ? workload_route() : found->second;
}

const upstream_route& routing_table::RouteOf(std::uint32_t upstream) const {
  return upstream < routes_.size() ? routes_[upstream] : kUnknownRoute;
}

void routing_table::AddService(const service_definition& service,
                               const std::string& own_data_centre,
                               name_index& upstreams) {
  services_.push_back(std::make_unique<service_plan>());
  service_plan& plan = *services_.back();
  plan.service = &service;
  for (const upstream_definition& upstream : service.upstreams) {
    upstream_route& route = FindOrAddRoute(upstreams.NumberOf(upstream.name));
    route.known = true;
    route.own_data_centre = upstream.data_centre == own_data_centre;
    route.out = IsOrderedOut(upstream.data_centre);
  }
  AddSnapshots(plan, upstreams);
  for (const workload& work : service.workloads) {
    workloads_.emplace(work.name, workload_route{&plan, &work});
  }
}

void routing_table::AddSnapshots(service_plan& plan,
                                 name_index& upstreams) const {
  for (const service_snapshots& each : view_->snapshots) {
    if (each.service != plan.service->name) continue;
    for (const partition_map& map : each.snapshots) {
      plan.snapshots.push_back(PlanOf(map, upstreams));
    }
  }
  std::sort(
      plan.snapshots.begin(), plan.snapshots.end(),
      [](const auto& a, const auto& b) { return a->snapshot > b->snapshot; });
}

void routing_table::AddStewards(name_index& upstreams, name_index& stewards) {
  for (const roster& each : view_->rosters) {
    for (const steward_assignment& assignment : each.assignments) {
      FindOrAddRoute(upstreams.NumberOf(assignment.upstream)).steward =
          stewards.NumberOf(assignment.steward);
    }
  }
}

bool routing_table::IsOrderedOut(const std::string& data_centre) const {
  const data_centre_order* newest = nullptr;
  for (const data_centre_order& order : view_->orders) {
    if (order.data_centre != data_centre) continue;
    if (newest == nullptr || order.generation > newest->generation)
      newest = &order;
  }
  return newest != nullptr && newest->out;
}

upstream_route& routing_table::FindOrAddRoute(std::uint32_t upstream) {
  if (upstream >= routes_.size()) routes_.resize(upstream + 1);
  return routes_[upstream];
}

}  // namespace papayaglade
