#include "protocol/upstream_codec.h"

#include <nlohmann/json.hpp>

namespace papayaglade {

namespace {

using nlohmann::json;

constexpr int kStatusOk = 200;
constexpr int kStatusGone = 410;
constexpr int kStatusUnavailable = 503;

upstream_reply ParseAnswer(const json& body) {
  upstream_reply reply;
  body.at("snapshot").get_to(reply.snapshot);
  body.at("incarnation").get_to(reply.incarnation);
  for (const json& each : body.at("hits")) {
    reply.hits.push_back({each.at(0).get<std::string>(),
                          each.at(1).get<double>(),
                          each.at(2).get<std::string>()});
  }
  reply.verdict = upstream_verdict::kAnswered;
  return reply;
}

upstream_reply ParseRefusal(const json& body) {
  upstream_reply reply;
  const auto refused = body.at("refused").get<std::string>();
  if (refused == "shed") reply.verdict = upstream_verdict::kShed;
  if (refused == "cold") reply.verdict = upstream_verdict::kCold;
  if (refused == "leaving") reply.verdict = upstream_verdict::kLeaving;
  return reply;
}

upstream_reply ParseGone(const json& body) {
  upstream_reply reply;
  body.at("snapshots").get_to(reply.snapshots_held);
  reply.verdict = upstream_verdict::kSnapshotGone;
  return reply;
}

}  // namespace

std::string AttemptName(const instance_identity& origin,
                        std::uint64_t attempt_id) {
  return origin.name + "-" + std::to_string(origin.incarnation) + "-" +
         std::to_string(attempt_id);
}

http_request FormatUpstreamRequest(const upstream_request& request) {
  json body = {{"attempt", request.attempt},
               {"request_id", request.request_id},
               {"query", request.query},
               {"deadline_us", request.time_left.count()}};
  if (!request.repeatable) return {"POST", "/run", "", body.dump()};
  body["shard"] = request.shard;
  body["snapshot"] = request.snapshot;
  return {"POST", "/search", "", body.dump()};
}

upstream_reply ParseUpstreamReply(int status, const std::string& body) {
  try {
    const json document = json::parse(body);
    switch (status) {
      case kStatusOk:
        return ParseAnswer(document);
      case kStatusGone:
        return ParseGone(document);
      case kStatusUnavailable:
        return ParseRefusal(document);
      default:
        return {};
    }
  } catch (const json::exception&) {
    return {};
  }
}

http_request FormatUpstreamCancel(const std::vector<std::string>& attempts) {
  const json body = {{"attempts", attempts}};
  return {"POST", "/cancel", "", body.dump()};
}

std::vector<std::string> ParseUpstreamCancelReply(int status,
                                                  const std::string& body) {
  if (status != kStatusOk) return {};
  try {
    return json::parse(body).at("ended").get<std::vector<std::string>>();
  } catch (const json::exception&) {
    return {};
  }
}

http_request FormatHealthRequest() { return {"GET", "/health", "", ""}; }

std::optional<upstream_health> ParseHealthReply(int status,
                                                const std::string& body) {
  if (status != kStatusOk) return std::nullopt;
  try {
    const json document = json::parse(body);
    upstream_health health;
    const auto phase = document.at("state").get<std::string>();
    if (phase == "cold") health.phase = upstream_phase::kCold;
    if (phase == "leaving") health.phase = upstream_phase::kLeaving;
    document.at("incarnation").get_to(health.incarnation);
    document.at("in_flight").get_to(health.in_flight);
    document.at("snapshots").get_to(health.snapshots);
    return health;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

}  // namespace papayaglade
