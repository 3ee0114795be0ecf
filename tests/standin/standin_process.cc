#include "standin_process.h"

#include "upstream_profile.h"

namespace papayaglade {

namespace {

using nlohmann::json;

constexpr int kStatusOk = 200;
constexpr int kStatusBadRequest = 400;

std::string TextAfterPrefix(const std::string& target,
                            const std::string& prefix) {
  return target.substr(0, prefix.size()) == prefix
             ? target.substr(prefix.size())
             : "";
}

}  // namespace

standin_process::standin_process(const json& definition) {
  if (definition.contains("control")) {
    control_ = std::make_unique<http_port>(
        io_, definition.at("control").get<std::uint16_t>(),
        [this](const http_request& request,
               const http_port::responder& respond) {
          respond(Handle(request));
        });
  }
  if (definition.contains("platform")) {
    platform_ =
        std::make_unique<platform_standin>(io_, definition.at("platform"));
  }
  for (const json& each : definition.value("upstreams", json::array())) {
    upstream_profile profile;
    profile.Apply(each);
    upstreams_[profile.name] = std::make_unique<upstream_standin>(io_, profile);
  }
  for (const json& each : definition.value("relays", json::array())) {
    relays_[each.at("name")] = std::make_unique<tcp_relay>(io_, each);
  }
}

std::string standin_process::Open() {
  if (control_ != nullptr && !control_->Open()) return "the control interface";
  if (platform_ != nullptr && !platform_->Open()) return "the platform";
  for (const auto& each : upstreams_) {
    if (!each.second->Open()) return "upstream " + each.first;
  }
  for (const auto& each : relays_) each.second->Open();
  return "";
}

// Serves GET /summary, /records/UPSTREAM and /begun/UPSTREAM, and POST
// /platform, /upstream/NAME and /relay/NAME.
http_response standin_process::Handle(const http_request& request) {
  if (request.target == "/summary") {
    return {kStatusOk, "application/json", Summary().dump()};
  }
  try {
    const std::string logged = TextAfterPrefix(request.target, "/records/");
    if (!logged.empty()) {
      const json records = upstreams_.at(logged)->Records();
      return {kStatusOk, "application/json", records.dump()};
    }
    const std::string begun = TextAfterPrefix(request.target, "/begun/");
    if (!begun.empty()) {
      const json work = upstreams_.at(begun)->Begun();
      return {kStatusOk, "application/json", work.dump()};
    }
    Command(request.target, json::parse(request.body));
  } catch (const std::exception& failed) {
    return {kStatusBadRequest, "text/plain", failed.what()};
  }
  return {kStatusOk, "application/json", "{}"};
}

void standin_process::Command(const std::string& target, const json& command) {
  const std::string upstream = TextAfterPrefix(target, "/upstream/");
  const std::string relay = TextAfterPrefix(target, "/relay/");
  if (!upstream.empty()) return upstreams_.at(upstream)->Command(command);
  if (!relay.empty()) return relays_.at(relay)->Command(command);
  if (platform_ != nullptr) platform_->Command(command);
}

json standin_process::Summary() const {
  json summary = {{"now_us", ToMicroseconds(monotonic_clock::now())}};
  if (platform_ != nullptr) summary["platform"] = platform_->Summary();
  for (const auto& each : upstreams_) {
    summary["upstreams"][each.first] = each.second->Summary();
  }
  for (const auto& each : relays_) {
    summary["relays"][each.first] = each.second->Summary();
  }
  return summary;
}

}  // namespace papayaglade
