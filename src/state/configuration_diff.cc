#include "state/configuration_diff.h"

#include <map>
#include <tuple>

namespace papayaglade {

namespace {

using service_index = std::map<std::string, const service_definition*>;

service_index IndexByName(const configuration& config) {
  service_index index;
  for (const service_definition& each : config.services) {
    index[each.name] = &each;
  }
  return index;
}

auto ComparedFields(const workload& value) {
  return std::tie(value.name, value.priority, value.repeatable, value.deadline,
                  value.coverage.minimum, value.coverage.settle_at,
                  value.coverage.settle_after, value.hedging,
                  value.hedge_percentile, value.extra_load, value.results);
}

auto ComparedFields(const upstream_definition& value) {
  return std::tie(value.name, value.data_centre, value.address.address,
                  value.address.port, value.limits.slots,
                  value.limits.cold_slots, value.limits.connections);
}

char ChangeSymbol(service_change::change_kind kind) {
  switch (kind) {
    case service_change::change_kind::kAdded:
      return '+';
    case service_change::change_kind::kRemoved:
      return '-';
    case service_change::change_kind::kChanged:
      return '~';
  }
  return '?';
}

}  // namespace

bool operator==(const workload& a, const workload& b) {
  return ComparedFields(a) == ComparedFields(b);
}

bool operator==(const upstream_definition& a, const upstream_definition& b) {
  return ComparedFields(a) == ComparedFields(b);
}

bool operator==(const service_definition& a, const service_definition& b) {
  return a.name == b.name && a.upstreams == b.upstreams &&
         a.workloads == b.workloads;
}

std::vector<service_change> DiffConfigurations(const configuration& before,
                                               const configuration& after) {
  using change_kind = service_change::change_kind;
  std::map<std::string, change_kind> changes;
  const service_index old_services = IndexByName(before);
  const service_index new_services = IndexByName(after);
  for (const auto& each : old_services) {
    const auto found = new_services.find(each.first);
    if (found == new_services.end()) {
      changes[each.first] = change_kind::kRemoved;
    } else if (!(*found->second == *each.second)) {
      changes[each.first] = change_kind::kChanged;
    }
  }
  for (const auto& each : new_services) {
    if (old_services.count(each.first) == 0) {
      changes[each.first] = change_kind::kAdded;
    }
  }
  std::vector<service_change> list;
  list.reserve(changes.size());
  for (const auto& each : changes) list.push_back({each.second, each.first});
  return list;
}

std::string FormatChanges(const std::vector<service_change>& changes) {
  std::string text;
  for (const service_change& each : changes) {
    if (!text.empty()) text += ' ';
    text += ChangeSymbol(each.kind) + each.service;
  }
  return text.empty() ? "nothing" : text;
}

}  // namespace papayaglade
