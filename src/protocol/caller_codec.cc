#include "protocol/caller_codec.h"

#include <utility>

#include "protocol/json_reader.h"
#include "protocol/json_text.h"

namespace papayaglade {

namespace {

using nlohmann::json;

constexpr std::int64_t kMaxDeadlineMs = 600'000;
constexpr std::size_t kMaxLabelBytes = 128;
constexpr std::size_t kReservedAccountBytes = 256;
constexpr std::size_t kReservedShardBytes = 128;
constexpr int kStatusOk = 200;
constexpr int kStatusBadRequest = 400;
constexpr int kStatusNotFound = 404;
constexpr int kStatusTooLarge = 413;
constexpr int kStatusBelowCoverage = 422;
constexpr int kStatusConflict = 409;
constexpr int kStatusUnavailable = 503;
constexpr int kStatusTimeout = 504;

// Replaces invalid UTF-8, because json::dump would throw on invalid text from
// an upstream.
std::string Dump(const json& value) {
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

void CheckLabel(json_reader& reader, const std::string& key,
                const std::string& text) {
  if (text.size() <= kMaxLabelBytes) return;
  reader.AddFault(key, "too long",
                  "use at most " + std::to_string(kMaxLabelBytes) + " bytes");
}

error FaultsToError(const fault_list& faults) {
  error cause{error_kind::kInvalidInput, faults.front().pointer, "", ""};
  for (const fault& each : faults) {
    if (!cause.message.empty()) {
      cause.message += "; ";
      cause.remedy += "; ";
    }
    cause.message +=
        (each.pointer.empty() ? "body" : each.pointer) + ": " + each.message;
    cause.remedy += each.remedy;
  }
  return cause;
}

int StatusOf(error_kind kind) {
  switch (kind) {
    case error_kind::kInvalidInput:
      return kStatusBadRequest;
    case error_kind::kTooLarge:
      return kStatusTooLarge;
    case error_kind::kUnknownName:
      return kStatusNotFound;
    case error_kind::kConflict:
      return kStatusConflict;
    case error_kind::kBelowCoverage:
      return kStatusBelowCoverage;
    case error_kind::kOutcomeUnknown:
      return kStatusTimeout;
    case error_kind::kNotRun:
    case error_kind::kOverloaded:
    case error_kind::kUnavailable:
    case error_kind::kDeadline:
      return kStatusUnavailable;
  }
  return kStatusUnavailable;
}

void AppendMember(const char* name, const std::string& text, std::string& out) {
  out += name;
  AppendJsonString(text, out);
}

void AppendMember(const char* name, std::int64_t number, std::string& out) {
  out += name;
  out += std::to_string(number);
}

void AppendShard(const shard_account& line, std::string& out) {
  AppendMember(R"({"shard":)", line.shard, out);
  AppendMember(R"(,"outcome":)", ShardOutcomeName(line.outcome), out);
  AppendMember(R"(,"reason":)", ShardReasonName(line.reason), out);
  AppendMember(R"(,"upstream":)", line.upstream, out);
  AppendMember(R"(,"attempts":)", line.attempts, out);
  AppendMember(R"(,"time_us":)", line.time.count(), out);
  out += '}';
}

// Formats the text directly instead of building a JSON document: an account has
// an element for each of hundreds of shards, and building the document would
// cost more than the rest of the answer.
std::string FormatAccount(const account& details) {
  std::string out;
  out.reserve(kReservedAccountBytes +
              kReservedShardBytes * details.shards.size());
  AppendMember(R"({"request_id":)", details.request_id, out);
  AppendMember(R"(,"workload":)", details.workload, out);
  out += R"(,"snapshot":)" + std::to_string(details.snapshot);
  out += R"(,"coverage":)" + json(details.coverage).dump();
  AppendMember(R"(,"retries":)", details.retries, out);
  AppendMember(R"(,"hedges":)", details.hedges, out);
  AppendMember(R"(,"restarts":)", details.restarts, out);
  out += R"(,"shards":[)";
  for (const shard_account& line : details.shards) {
    AppendShard(line, out);
    out += ',';
  }
  if (!details.shards.empty()) out.pop_back();
  out += "]}";
  return out;
}

http_response FormatFailure(const char* name, int status, const error& cause,
                            const account& details) {
  std::string body;
  AppendMember(R"({"outcome":)", name, body);
  body += R"(,"error":)" + Dump(ErrorToJson(cause));
  body += R"(,"account":)" + FormatAccount(details) + "}";
  return {status, "application/json", std::move(body)};
}

struct outcome_formatter {
  http_response operator()(const answered& outcome) const {
    json hits = json::array();
    for (const hit& each : outcome.hits) {
      hits.push_back(
          {{"key", each.key}, {"score", each.score}, {"text", each.text}});
    }
    std::string body = R"({"outcome":"answered","hits":)" + Dump(hits);
    body += R"(,"account":)" + FormatAccount(outcome.details) + "}";
    return {kStatusOk, "application/json", std::move(body)};
  }
  http_response operator()(const not_run& outcome) const {
    return FormatFailure("not_run", StatusOf(outcome.cause.kind), outcome.cause,
                         outcome.details);
  }
  http_response operator()(const outcome_unknown& outcome) const {
    return FormatFailure("unknown", kStatusTimeout, outcome.cause,
                         outcome.details);
  }
  http_response operator()(const below_coverage& outcome) const {
    return FormatFailure("below_coverage", kStatusBelowCoverage, outcome.cause,
                         outcome.details);
  }
};

}  // namespace

std::variant<caller_request, error> ParseCallerRequest(
    const std::string& body) {
  fault_list faults;
  const json document = ParseJson(body, faults);
  if (!faults.empty()) return FaultsToError(faults);
  json_reader reader(document, "", faults);
  caller_request request;
  request.workload = reader.RequiredString("workload");
  request.query = reader.RequiredString("query");
  request.caller = reader.OptionalString("caller", "anonymous");
  request.request_id = reader.OptionalString("request_id", "");
  request.request_key = reader.OptionalString("request_key", "");
  CheckLabel(reader, "workload", request.workload);
  CheckLabel(reader, "caller", request.caller);
  CheckLabel(reader, "request_id", request.request_id);
  CheckLabel(reader, "request_key", request.request_key);
  const auto deadline = reader.MaybeInteger("deadline_ms", 1, kMaxDeadlineMs);
  if (deadline.has_value()) {
    request.deadline = std::chrono::milliseconds(*deadline);
  }
  request.minimum_coverage = reader.MaybeNumber("minimum_coverage", 0.0, 1.0);
  reader.RejectUnknownMembers();
  if (!faults.empty()) return FaultsToError(faults);
  return request;
}

http_response FormatCallerOutcome(const caller_outcome& outcome) {
  return std::visit(outcome_formatter{}, outcome);
}

http_response FormatCallerError(const error& cause) {
  const json body = {{"outcome", "not_run"}, {"error", ErrorToJson(cause)}};
  return {StatusOf(cause.kind), "application/json", Dump(body)};
}

std::string FormatFinishedRequest(const finished_request& request) {
  std::string body;
  AppendMember(R"({"outcome":)", request.outcome, body);
  AppendMember(R"(,"caller":)", request.caller, body);
  AppendMember(R"(,"latency_us":)", request.latency.count(), body);
  AppendMember(R"(,"deadline_ms":)", request.deadline.count(), body);
  if (!request.cause.message.empty()) {
    body += R"(,"error":)" + Dump(ErrorToJson(request.cause));
  }
  body += R"(,"account":)" + FormatAccount(request.details) + "}";
  return body;
}

nlohmann::json ErrorToJson(const error& cause) {
  return {{"kind", ErrorKindName(cause.kind)},
          {"field", cause.field},
          {"message", cause.message},
          {"remedy", cause.remedy}};
}

}  // namespace papayaglade
