#include "protocol/configuration_codec.h"

#include <set>
#include <utility>

#include "protocol/json_reader.h"

namespace papayaglade {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr std::int64_t kMaxSlots = 10'000;
constexpr std::int64_t kMaxPort = 65'535;
constexpr std::int64_t kMaxDeadlineMs = 600'000;
constexpr std::int64_t kMaxResults = 10'000;
constexpr double kMaxExtraLoad = 0.05;
constexpr double kMinHedgePercentile = 0.5;
constexpr double kMaxHedgePercentile = 0.9999;

request_class ReadClass(json_reader& reader) {
  const std::string name = reader.OptionalString("class", "counter");
  for (const request_class each :
       {request_class::kCounter, request_class::kFull,
        request_class::kArchive}) {
    if (name == RequestClassName(each)) return each;
  }
  reader.AddFault("class", "unknown class \"" + name + "\"",
                  "use counter, full or archive");
  return request_class::kCounter;
}

coverage_policy ReadCoverage(json_reader reader, milliseconds deadline) {
  coverage_policy policy;
  policy.minimum = reader.OptionalNumber("minimum", 1.0, 0.0, 1.0);
  policy.settle_at =
      reader.OptionalNumber("settle_at", 1.0, policy.minimum, 1.0);
  policy.settle_after = milliseconds(reader.OptionalInteger(
      "settle_after_ms", deadline.count(), 0, deadline.count()));
  reader.RejectUnknownMembers();
  return policy;
}

workload ReadWorkload(json_reader& reader) {
  workload result;
  result.name = reader.RequiredString("name");
  result.priority = ReadClass(reader);
  result.repeatable = reader.OptionalBool("repeatable", true);
  result.deadline =
      milliseconds(reader.RequiredInteger("deadline_ms", 1, kMaxDeadlineMs));
  result.coverage = ReadCoverage(reader.Object("coverage"), result.deadline);
  result.hedging = reader.OptionalBool("hedging", result.repeatable);
  result.hedge_percentile =
      reader.OptionalNumber("hedge_percentile", result.hedge_percentile,
                            kMinHedgePercentile, kMaxHedgePercentile);
  result.extra_load = reader.OptionalNumber("extra_load", result.extra_load,
                                            0.0, kMaxExtraLoad);
  result.results = static_cast<std::size_t>(reader.OptionalInteger(
      "results", static_cast<std::int64_t>(result.results), 1, kMaxResults));
  if (!result.repeatable && result.hedging) {
    reader.AddFault("hedging", "a workload that may not be repeated is hedged",
                    "set hedging to false or repeatable to true");
  }
  reader.RejectUnknownMembers();
  return result;
}

upstream_definition ReadUpstream(json_reader& reader) {
  upstream_definition result;
  result.name = reader.RequiredString("name");
  result.data_centre = reader.RequiredString("data_centre");
  result.address.address = reader.RequiredString("address");
  result.address.port =
      static_cast<std::uint16_t>(reader.RequiredInteger("port", 1, kMaxPort));
  result.limits.slots =
      static_cast<int>(reader.RequiredInteger("slots", 1, kMaxSlots));
  result.limits.cold_slots = static_cast<int>(
      reader.OptionalInteger("cold_slots", 1, 1, result.limits.slots));
  result.limits.connections =
      static_cast<int>(reader.RequiredInteger("connections", 1, kMaxSlots));
  reader.RejectUnknownMembers();
  return result;
}

template <typename Item>
void RejectDuplicateNames(json_reader& reader, const std::string& key,
                          const std::vector<Item>& items) {
  std::set<std::string> names;
  for (const Item& item : items) {
    if (names.insert(item.name).second) continue;
    reader.AddFault(key, "name \"" + item.name + "\" stands twice",
                    "give each its own name");
  }
}

service_definition ReadService(json_reader& reader) {
  service_definition service;
  service.name = reader.RequiredString("service");
  for (json_reader& each : reader.Objects("upstreams")) {
    service.upstreams.push_back(ReadUpstream(each));
  }
  for (json_reader& each : reader.Objects("workloads")) {
    service.workloads.push_back(ReadWorkload(each));
  }
  if (service.upstreams.empty()) {
    reader.AddFault("upstreams", "no upstream", "name at least one upstream");
  }
  if (service.workloads.empty()) {
    reader.AddFault("workloads", "no workload", "name at least one workload");
  }
  RejectDuplicateNames(reader, "upstreams", service.upstreams);
  RejectDuplicateNames(reader, "workloads", service.workloads);
  reader.RejectUnknownMembers();
  return service;
}

json WorkloadToJson(const workload& value) {
  return {{"name", value.name},
          {"class", RequestClassName(value.priority)},
          {"repeatable", value.repeatable},
          {"deadline_ms", value.deadline.count()},
          {"coverage",
           {{"minimum", value.coverage.minimum},
            {"settle_at", value.coverage.settle_at},
            {"settle_after_ms", value.coverage.settle_after.count()}}},
          {"hedging", value.hedging},
          {"hedge_percentile", value.hedge_percentile},
          {"extra_load", value.extra_load},
          {"results", value.results}};
}

json UpstreamToJson(const upstream_definition& value) {
  return {{"name", value.name},
          {"data_centre", value.data_centre},
          {"address", value.address.address},
          {"port", value.address.port},
          {"slots", value.limits.slots},
          {"cold_slots", value.limits.cold_slots},
          {"connections", value.limits.connections}};
}

// Parses `text` and returns what `read` returns for the document. Returns
// std::nullopt if the text is malformed or `read` throws json::exception.
template <typename Value, typename Read>
std::optional<Value> ReadStored(const std::string& text, Read read) {
  try {
    return read(json::parse(text));
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

json MembersToJson(const std::vector<roster_member>& members) {
  json out = json::array();
  for (const roster_member& each : members) {
    out.push_back({{"name", each.identity.name},
                   {"incarnation", each.identity.incarnation},
                   {"address", each.peers.address},
                   {"port", each.peers.port},
                   {"operators_address", each.operators.address},
                   {"operators_port", each.operators.port},
                   {"joined_epoch", each.joined_epoch}});
  }
  return out;
}

std::vector<roster_member> MembersFromJson(const json& in) {
  std::vector<roster_member> members;
  for (const json& each : in) {
    roster_member member;
    each.at("name").get_to(member.identity.name);
    each.at("incarnation").get_to(member.identity.incarnation);
    each.at("address").get_to(member.peers.address);
    each.at("port").get_to(member.peers.port);
    member.operators = {each.value("operators_address", ""),
                        each.value("operators_port", std::uint16_t{0})};
    each.at("joined_epoch").get_to(member.joined_epoch);
    members.push_back(std::move(member));
  }
  return members;
}

}  // namespace

service_definition ParseServiceFile(const std::string& file,
                                    const std::string& text,
                                    fault_list& faults) {
  return ReadDocument(file, text, faults, ReadService);
}

nlohmann::json ServiceToJson(const service_definition& service) {
  json upstreams = json::array();
  for (const upstream_definition& each : service.upstreams) {
    upstreams.push_back(UpstreamToJson(each));
  }
  json workloads = json::array();
  for (const workload& each : service.workloads) {
    workloads.push_back(WorkloadToJson(each));
  }
  return {{"service", service.name},
          {"upstreams", std::move(upstreams)},
          {"workloads", std::move(workloads)}};
}

std::string FormatConfiguration(const configuration& config) {
  json services = json::array();
  for (const service_definition& each : config.services) {
    services.push_back(ServiceToJson(each));
  }
  const json value = {{"version", config.version},
                      {"publication_id", config.publication_id},
                      {"services", std::move(services)}};
  return value.dump();
}

std::optional<configuration> ParseConfiguration(const std::string& text) {
  return ReadStored<configuration>(
      text, [](const json& in) -> std::optional<configuration> {
        configuration config;
        in.at("version").get_to(config.version);
        in.at("publication_id").get_to(config.publication_id);
        fault_list faults;
        for (const json& each : in.at("services")) {
          json_reader reader(each, "", faults);
          config.services.push_back(ReadService(reader));
        }
        if (!faults.empty()) return std::nullopt;
        return config;
      });
}

std::optional<service_snapshots> ParseSnapshots(const std::string& service,
                                                const std::string& text) {
  return ReadStored<service_snapshots>(text, [&service](const json& in) {
    service_snapshots result;
    result.service = service;
    for (const json& snapshot : in.at("snapshots")) {
      partition_map map;
      snapshot.at("snapshot").get_to(map.snapshot);
      for (const json& shard : snapshot.at("shards")) {
        map.shards.push_back(
            {shard.at("shard").get<std::string>(),
             shard.at("replicas").get<std::vector<std::string>>()});
      }
      result.snapshots.push_back(std::move(map));
    }
    std::sort(result.snapshots.begin(), result.snapshots.end(),
              [](const partition_map& a, const partition_map& b) {
                return a.snapshot > b.snapshot;
              });
    return result;
  });
}

std::string FormatRoster(const roster& value) {
  json assignments = json::object();
  for (const steward_assignment& each : value.assignments) {
    assignments[each.upstream] = json::array({each.steward, each.since_epoch});
  }
  const json out = {{"epoch", value.epoch},
                    {"configuration_version", value.configuration_version},
                    {"members", MembersToJson(value.members)},
                    {"assignments", std::move(assignments)},
                    {"retired", MembersToJson(value.retired)},
                    {"writer", value.writer}};
  return out.dump();
}

std::optional<roster> ParseRoster(const std::string& data_centre,
                                  const std::string& text) {
  return ReadStored<roster>(text, [&data_centre](const json& in) {
    roster result;
    result.data_centre = data_centre;
    in.at("epoch").get_to(result.epoch);
    in.at("configuration_version").get_to(result.configuration_version);
    result.members = MembersFromJson(in.at("members"));
    for (const auto& each : in.at("assignments").items()) {
      result.assignments.push_back({each.key(),
                                    each.value().at(0).get<std::string>(),
                                    each.value().at(1).get<std::uint64_t>()});
    }
    result.retired = MembersFromJson(in.at("retired"));
    in.at("writer").get_to(result.writer);
    return result;
  });
}

std::string FormatOrder(const data_centre_order& value) {
  const json out = {{"generation", value.generation}, {"out", value.out}};
  return out.dump();
}

std::optional<data_centre_order> ParseOrder(const std::string& data_centre,
                                            const std::string& text) {
  return ReadStored<data_centre_order>(text, [&data_centre](const json& in) {
    data_centre_order order;
    order.data_centre = data_centre;
    in.at("generation").get_to(order.generation);
    in.at("out").get_to(order.out);
    return order;
  });
}

}  // namespace papayaglade
