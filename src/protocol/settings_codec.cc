#include "protocol/settings_codec.h"

#include <utility>

#include "protocol/json_reader.h"

namespace papayaglade {

namespace {

using std::chrono::milliseconds;

constexpr std::int64_t kMaxPort = 65'535;
constexpr std::int64_t kMaxDurationMs = 600'000;
constexpr std::int64_t kMaxBytes = 64 * 1024 * 1024;
constexpr std::int64_t kMaxCount = 1'000'000;
constexpr double kMinCallsPerSecond = 0.1;
constexpr double kMaxCallsPerSecond = 1000.0;
constexpr std::size_t kMinPeerKeyBytes = 16;

endpoint ReadEndpoint(json_reader reader) {
  endpoint result;
  result.address = reader.RequiredString("address");
  result.port =
      static_cast<std::uint16_t>(reader.RequiredInteger("port", 1, kMaxPort));
  reader.RejectUnknownMembers();
  return result;
}

std::vector<seed_peer> ReadSeeds(json_reader& reader) {
  std::vector<seed_peer> seeds;
  for (json_reader& each : reader.Objects("seeds")) {
    seed_peer seed;
    seed.name = each.RequiredString("name");
    seed.peers.address = each.RequiredString("address");
    seed.peers.port =
        static_cast<std::uint16_t>(each.RequiredInteger("port", 1, kMaxPort));
    each.RejectUnknownMembers();
    seeds.push_back(std::move(seed));
  }
  return seeds;
}

milliseconds ReadDuration(json_reader& reader, const std::string& key,
                          milliseconds fallback) {
  return milliseconds(
      reader.OptionalInteger(key, fallback.count(), 1, kMaxDurationMs));
}

std::size_t ReadSize(json_reader& reader, const std::string& key,
                     std::size_t fallback, std::int64_t max_value) {
  return static_cast<std::size_t>(reader.OptionalInteger(
      key, static_cast<std::int64_t>(fallback), 1, max_value));
}

coordination_settings ReadCoordination(json_reader reader) {
  coordination_settings result;
  result.probe_interval =
      ReadDuration(reader, "probe_period_ms", result.probe_interval);
  result.probe_timeout =
      ReadDuration(reader, "probe_timeout_ms", result.probe_timeout);
  result.suspicion_timeout =
      ReadDuration(reader, "suspicion_ms", result.suspicion_timeout);
  result.lease_duration =
      ReadDuration(reader, "lease_ms", result.lease_duration);
  result.max_request_duration =
      ReadDuration(reader, "longest_request_ms", result.max_request_duration);
  result.shutdown_timeout =
      ReadDuration(reader, "shutdown_bound_ms", result.shutdown_timeout);
  result.balancer_delay =
      ReadDuration(reader, "balancer_notice_ms", result.balancer_delay);
  if (result.probe_timeout >= result.probe_interval) {
    reader.AddFault("probe_timeout_ms", "not shorter than probe_period_ms",
                    "lower it or raise probe_period_ms");
  }
  reader.RejectUnknownMembers();
  return result;
}

port_limits ReadLimits(json_reader reader) {
  port_limits result;
  result.body_bytes =
      ReadSize(reader, "body_bytes", result.body_bytes, kMaxBytes);
  result.header_bytes =
      ReadSize(reader, "header_bytes", result.header_bytes, kMaxBytes);
  result.connections =
      ReadSize(reader, "connections", result.connections, kMaxCount);
  result.requests_in_flight = ReadSize(reader, "requests_in_flight",
                                       result.requests_in_flight, kMaxCount);
  result.header_timeout =
      ReadDuration(reader, "header_timeout_ms", result.header_timeout);
  result.idle_timeout =
      ReadDuration(reader, "idle_timeout_ms", result.idle_timeout);
  reader.RejectUnknownMembers();
  return result;
}

instance_settings ReadSettings(json_reader& reader) {
  instance_settings result;
  result.name = reader.RequiredString("name");
  result.data_centre = reader.RequiredString("data_centre");
  result.callers = ReadEndpoint(reader.Object("callers"));
  result.operators = ReadEndpoint(reader.Object("operators"));
  result.peers = ReadEndpoint(reader.Object("peers"));
  result.peers_listen = reader.Has("peers_listen")
                            ? ReadEndpoint(reader.Object("peers_listen"))
                            : result.peers;
  result.platform = ReadEndpoint(reader.Object("platform"));
  result.seeds = ReadSeeds(reader);
  result.peer_key = reader.RequiredString("peer_key");
  if (!result.peer_key.empty() && result.peer_key.size() < kMinPeerKeyBytes) {
    reader.AddFault(
        "peer_key", "too short to protect peer links",
        "use at least " + std::to_string(kMinPeerKeyBytes) + " characters");
  }
  result.platform_timeout =
      ReadDuration(reader, "platform_timeout_ms", result.platform_timeout);
  result.platform_calls_per_second = reader.OptionalNumber(
      "platform_calls_per_second", result.platform_calls_per_second,
      kMinCallsPerSecond, kMaxCallsPerSecond);
  result.coordination = ReadCoordination(reader.Object("coordination"));
  result.limits = ReadLimits(reader.Object("limits"));
  reader.RejectUnknownMembers();
  return result;
}

}  // namespace

instance_settings ParseSettings(const std::string& file,
                                const std::string& text, fault_list& faults) {
  return ReadDocument(file, text, faults, ReadSettings);
}

}  // namespace papayaglade
