#include "protocol/platform_codec.h"

#include <nlohmann/json.hpp>

#include "protocol/json_reader.h"

namespace papayaglade {

namespace {

using nlohmann::json;

constexpr int kStatusOk = 200;
constexpr int kStatusNotFound = 404;
constexpr int kStatusConflict = 409;
constexpr int kStatusGone = 410;

struct call_formatter {
  http_request operator()(const platform_get& call) const {
    return {"GET", ObjectTarget(call.kind, call.name), "", ""};
  }
  http_request operator()(const platform_put& call) const {
    return {"PUT",
            ObjectTarget(call.kind, call.name) +
                "?version=" + std::to_string(call.expected_version),
            "", call.value};
  }
  http_request operator()(const platform_list& call) const {
    return {"GET", "/objects/" + EscapeTarget(call.kind), "", ""};
  }
  http_request operator()(const platform_watch& call) const {
    return {"GET",
            "/watch/" + EscapeTarget(call.kind) +
                "?after=" + std::to_string(call.after_revision) +
                "&wait_ms=" + std::to_string(call.wait.count()),
            "", ""};
  }
  http_request operator()(const platform_list_instances& /*call*/) const {
    return {"GET", "/instances", "", ""};
  }

 private:
  static std::string ObjectTarget(const std::string& kind,
                                  const std::string& name) {
    return "/objects/" + EscapeTarget(kind) + "/" + EscapeTarget(name);
  }
};

platform_object ParseObject(const json& in) {
  platform_object object;
  in.at("kind").get_to(object.kind);
  in.at("name").get_to(object.name);
  in.at("version").get_to(object.version);
  object.value = in.at("value").dump();
  return object;
}

// The reply to a put contains only the version and, on a conflict, the value,
// because the call already names the object.
platform_object ParsePutAnswer(const platform_put& call, const json& in) {
  platform_object object;
  object.kind = call.kind;
  object.name = call.name;
  in.at("version").get_to(object.version);
  if (in.contains("value")) object.value = in.at("value").dump();
  return object;
}

platform_instance ParseInstance(const json& in) {
  platform_instance instance;
  in.at("name").get_to(instance.identity.name);
  in.at("incarnation").get_to(instance.identity.incarnation);
  in.at("data_centre").get_to(instance.data_centre);
  in.at("address").get_to(instance.peers.address);
  in.at("port").get_to(instance.peers.port);
  instance.leaving = in.at("state").get<std::string>() == "leaving";
  return instance;
}

struct answer_reader {
  const json& body;
  platform_reply& reply;

  void operator()(const platform_get& /*call*/) const {
    reply.objects.push_back(ParseObject(body));
  }
  void operator()(const platform_put& call) const {
    reply.objects.push_back(ParsePutAnswer(call, body));
  }
  void operator()(const platform_list& /*call*/) const { ReadList(); }
  void operator()(const platform_watch& /*call*/) const { ReadList(); }
  void operator()(const platform_list_instances& /*call*/) const {
    for (const json& each : body.at("instances")) {
      reply.instances.push_back(ParseInstance(each));
    }
  }

 private:
  void ReadList() const {
    body.at("revision").get_to(reply.revision);
    for (const json& each : body.at("objects")) {
      reply.objects.push_back(ParseObject(each));
    }
  }
};

platform_status StatusOf(int status) {
  switch (status) {
    case kStatusOk:
      return platform_status::kOk;
    case kStatusNotFound:
      return platform_status::kNotFound;
    case kStatusConflict:
      return platform_status::kConflict;
    case kStatusGone:
      return platform_status::kGone;
    default:
      return platform_status::kRejected;
  }
}

}  // namespace

http_request FormatPlatformCall(const platform_operation& operation) {
  return std::visit(call_formatter{}, operation);
}

platform_reply ParsePlatformReply(const platform_operation& operation,
                                  int status, const std::string& body) {
  platform_reply reply;
  reply.status = StatusOf(status);
  const bool has_body = reply.status == platform_status::kOk ||
                        reply.status == platform_status::kConflict;
  if (!has_body) return reply;
  try {
    fault_list faults;
    const json document = ParseJson(body, faults);
    std::visit(answer_reader{document, reply}, operation);
  } catch (const json::exception&) {
    reply = platform_reply{};
  }
  return reply;
}

}  // namespace papayaglade
