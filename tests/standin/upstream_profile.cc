#include "upstream_profile.h"

namespace papayaglade {

namespace {

template <typename Value>
void Read(const nlohmann::json& in, const char* key, Value& out) {
  if (in.contains(key)) in.at(key).get_to(out);
}

template <typename Duration>
void ReadTime(const nlohmann::json& in, const char* key, Duration& out) {
  if (in.contains(key)) out = Duration(in.at(key).get<std::int64_t>());
}

}  // namespace

void upstream_profile::Apply(const nlohmann::json& changes) {
  Read(changes, "name", name);
  Read(changes, "port", port);
  Read(changes, "slots", slots);
  Read(changes, "cold_slots", cold_slots);
  Read(changes, "connections", connections);
  ReadTime(changes, "service_us", service_time);
  ReadTime(changes, "jitter_us", jitter);
  Read(changes, "straggler_one_in", straggler_one_in);
  Read(changes, "straggler_times", straggler_times);
  Read(changes, "seed", seed);
  Read(changes, "warm_after_served", warm_after_served);
  ReadTime(changes, "warm_after_ms", warm_after_time);
  Read(changes, "cold_times", cold_times);
  Read(changes, "starts_cold", starts_cold);
  Read(changes, "health_lies", health_lies);
  ReadTime(changes, "health_lag_ms", health_lag);
  Read(changes, "other_snapshot", other_snapshot);
  Read(changes, "snapshots", snapshots);
  Read(changes, "logs", logs);
}

}  // namespace papayaglade
