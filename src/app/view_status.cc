#include "app/view_status.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace papayaglade {

namespace {

using nlohmann::json;

json DescribeRoster(const roster& value) {
  json members = json::array();
  json counts = json::object();
  for (const roster_member& each : value.members) {
    members.push_back(each.identity.name);
    counts[each.identity.name] = 0;
  }
  for (const steward_assignment& each : value.assignments) {
    json& count = counts[each.steward];
    count = count.is_null() ? 1 : count.get<int>() + 1;
  }
  return {{"data_centre", value.data_centre},
          {"epoch", value.epoch},
          {"members", std::move(members)},
          {"assignments", std::move(counts)}};
}

}  // namespace

void DescribeView(const cluster_view& view, json& status) {
  status["configuration_version"] =
      view.config == nullptr ? 0 : view.config->version;
  json rosters = json::array();
  for (const roster& each : view.rosters) {
    rosters.push_back(DescribeRoster(each));
  }
  json orders = json::array();
  for (const data_centre_order& each : view.orders) {
    orders.push_back({{"data_centre", each.data_centre},
                      {"generation", each.generation},
                      {"out", each.out}});
  }
  status["rosters"] = std::move(rosters);
  status["orders"] = std::move(orders);
}

}  // namespace papayaglade
