#include "protocol/upstream_codec.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "protocol/upstream_answer_reader.h"

namespace papayaglade {

namespace {

using nlohmann::json;

constexpr int kStatusOk = 200;
constexpr int kStatusGone = 410;
constexpr int kStatusUnavailable = 503;

// Appends `text` as a JSON string. Text that needs no escape, the common case,
// is copied.
void AppendString(std::string& out, const std::string& text) {
  const auto needs_no_escape = [](char c) {
    constexpr char kFirstPrintable = ' ';
    constexpr char kLastAscii = '~';
    return c >= kFirstPrintable && c <= kLastAscii && c != '"' && c != '\\';
  };
  if (std::all_of(text.begin(), text.end(), needs_no_escape)) {
    out += '"';
    out += text;
    out += '"';
    return;
  }
  constexpr int kCompact = -1;
  out += json(text).dump(kCompact, ' ', false, json::error_handler_t::replace);
}

void AppendMember(std::string& out, const char* name, const std::string& text) {
  out += name;
  AppendString(out, text);
}

void AppendMember(std::string& out, const char* name, std::uint64_t number) {
  out += name;
  out += std::to_string(number);
}

upstream_reply ParseRefusal(const json& body) {
  upstream_reply reply;
  const auto refused = body.at("refused").get<std::string>();
  if (refused == "shed") reply.code = upstream_reply_code::kShed;
  if (refused == "cold") reply.code = upstream_reply_code::kCold;
  if (refused == "leaving") reply.code = upstream_reply_code::kLeaving;
  return reply;
}

upstream_reply ParseSnapshotGone(const json& body) {
  upstream_reply reply;
  body.at("snapshots").get_to(reply.snapshots_held);
  reply.code = upstream_reply_code::kSnapshotGone;
  return reply;
}

}  // namespace

std::string AttemptName(const instance_identity& origin,
                        std::uint64_t attempt_id) {
  return origin.name + "-" + std::to_string(origin.incarnation) + "-" +
         std::to_string(attempt_id);
}

// Formats the text directly: this runs for every shard request, and building a
// JSON document took more CPU time than sending the request.
http_request FormatUpstreamRequest(const upstream_request& request) {
  constexpr std::size_t kFixedTextBytes = 128;
  const auto left = std::max(request.time_left, std::chrono::microseconds(0));
  http_request message{"POST", request.repeatable ? "/search" : "/run", "", ""};
  std::string& body = message.body;
  body.reserve(kFixedTextBytes + request.attempt.size() + request.query.size() +
               request.request_id.size() + request.shard.size());
  AppendMember(body, "{\"attempt\":", request.attempt);
  AppendMember(body, ",\"request_id\":", request.request_id);
  AppendMember(body, ",\"query\":", request.query);
  AppendMember(body,
               ",\"deadline_us\":", static_cast<std::uint64_t>(left.count()));
  if (request.repeatable) {
    AppendMember(body, ",\"shard\":", request.shard);
    AppendMember(body, ",\"snapshot\":", request.snapshot);
  }
  body += '}';
  return message;
}

upstream_reply ParseUpstreamReply(int status, const std::string& body) {
  if (status == kStatusOk) return ReadUpstreamAnswer(body);
  try {
    const json document = json::parse(body);
    switch (status) {
      case kStatusGone:
        return ParseSnapshotGone(document);
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
