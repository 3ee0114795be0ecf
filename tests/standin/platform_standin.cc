#include "platform_standin.h"

#include <vector>

namespace papayaglade {

namespace {

using nlohmann::json;

port_limits WideLimits() {
  port_limits limits;
  limits.body_bytes = 2UL * 1024 * 1024;
  return limits;
}

std::vector<std::string> Segments(const std::string& path) {
  std::vector<std::string> segments;
  std::size_t start = 1;
  while (start <= path.size()) {
    const std::size_t end = std::min(path.find('/', start), path.size());
    segments.push_back(path.substr(start, end - start));
    start = end + 1;
  }
  return segments;
}

http_response Answer(int status, const json& body) {
  return {status, "application/json", body.dump()};
}

}  // namespace

platform_standin::platform_standin()
    : server_("platform", WideLimits(),
              [this](const http_request& request,
                     const http_server::responder& respond) {
                respond(Handle(request));
              }) {}

std::string platform_standin::Start(const endpoint& address) {
  std::string failed = server_.Listen(address);
  if (failed.empty()) server_.Start();
  return failed;
}

http_response platform_standin::Handle(const http_request& request) {
  const std::size_t mark = request.target.find('?');
  const auto segments = Segments(request.target.substr(0, mark));
  if (segments[0] != "objects" || segments.size() < 2) {
    return Answer(404, json::object());
  }
  if (segments.size() == 2) return Answer(200, List(segments[1]));
  if (request.method == "PUT") {
    const std::size_t version = request.target.find("version=");
    return Put(segments[1], segments[2],
               std::stoull(request.target.substr(version + 8)), request.body);
  }
  const auto found = objects_.find({segments[1], segments[2]});
  if (found == objects_.end()) return Answer(404, json::object());
  return Answer(200, {{"kind", segments[1]},
                      {"name", segments[2]},
                      {"version", found->second.version},
                      {"value", found->second.value}});
}

http_response platform_standin::Put(const std::string& kind,
                                    const std::string& name,
                                    std::uint64_t expected,
                                    const std::string& body) {
  object& stored = objects_[{kind, name}];
  if (stored.version != expected) {
    return Answer(409, {{"version", stored.version}, {"value", stored.value}});
  }
  stored.value = json::parse(body);
  stored.revision = ++revision_;
  ++stored.version;
  return Answer(200, {{"version", stored.version}});
}

json platform_standin::List(const std::string& kind) const {
  json objects = json::array();
  for (const auto& each : objects_) {
    if (each.first.first != kind || each.second.version == 0) continue;
    objects.push_back({{"kind", kind},
                       {"name", each.first.second},
                       {"version", each.second.version},
                       {"value", each.second.value}});
  }
  return {{"revision", revision_}, {"objects", objects}};
}

}  // namespace papayaglade
