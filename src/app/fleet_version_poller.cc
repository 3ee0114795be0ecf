#include "app/fleet_version_poller.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "protocol/configuration_codec.h"
#include "state/time.h"
#include "transport/http_call.h"

namespace papayaglade {

namespace {

constexpr std::chrono::milliseconds kPollTimeout{500};
constexpr std::chrono::milliseconds kPollInterval{100};
constexpr int kStatusOk = 200;

}  // namespace

fleet_version_poller::fleet_version_poller(blocking_platform& platform)
    : platform_(platform) {}

bool fleet_version_poller::ReadRosters() {
  const platform_reply reply = platform_.Call(platform_list{"roster"});
  if (reply.status != platform_status::kOk) return false;
  for (const platform_object& object : reply.objects) {
    const auto parsed = ParseRoster(object.name, object.value);
    if (!parsed.has_value()) continue;
    for (const roster_member& member : parsed->members) {
      if (member.operators.port == 0) continue;
      instances_.push_back(
          {member.identity.name, object.name, member.operators, false, 0});
    }
  }
  return true;
}

void fleet_version_poller::AddInstance(const endpoint& operators) {
  const bool known = std::any_of(instances_.begin(), instances_.end(),
                                 [&operators](const instance_version& each) {
                                   return each.operators == operators;
                                 });
  if (known) return;
  const std::string name =
      operators.address + ":" + std::to_string(operators.port);
  instances_.push_back({name, "", operators, false, 0});
}

bool fleet_version_poller::WaitForVersion(std::uint64_t version,
                                          std::chrono::milliseconds timeout) {
  const monotonic_time end = monotonic_clock::now() + timeout;
  while (true) {
    bool all = true;
    for (instance_version& each : instances_) {
      if (each.answered && each.version >= version) continue;
      Poll(each);
      all = all && each.answered && each.version >= version;
    }
    if (all || monotonic_clock::now() >= end) return all;
    platform_.Pause(kPollInterval);
  }
}

std::uint64_t fleet_version_poller::HighestVersion() {
  std::uint64_t highest = 0;
  for (instance_version& each : instances_) {
    Poll(each);
    highest = std::max(highest, each.version);
  }
  return highest;
}

void fleet_version_poller::Poll(instance_version& instance) const {
  const http_connection::outcome outcome = CallHttp(
      instance.operators, {"GET", "/configuration", "", ""}, kPollTimeout);
  instance.answered = !outcome.failure.has_value();
  if (!instance.answered || outcome.status != kStatusOk) return;
  const auto body = nlohmann::json::parse(outcome.body, nullptr, false);
  if (body.is_object()) instance.version = body.value("version", 0ULL);
}

}  // namespace papayaglade
