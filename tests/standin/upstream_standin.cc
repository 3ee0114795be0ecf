#include "upstream_standin.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace papayaglade {

namespace {

using nlohmann::json;

}  // namespace

upstream_standin::upstream_standin(std::string name)
    : name_(std::move(name)),
      server_("upstream", port_limits(),
              [this](const http_request& request,
                     const http_server::responder& respond) {
                respond(Handle(request));
              }) {}

std::string upstream_standin::Start(const endpoint& address) {
  std::string failed = server_.Listen(address);
  if (failed.empty()) server_.Start();
  return failed;
}

http_response upstream_standin::Handle(const http_request& request) {
  if (request.target == "/health") {
    const json health = {{"state", "warm"},
                         {"incarnation", "1"},
                         {"in_flight", 0},
                         {"slots", 1},
                         {"snapshots", json::array()}};
    return {200, "application/json", health.dump()};
  }
  const json body = json::parse(request.body);
  if (request.target == "/cancel") {
    return {200, "application/json",
            json({{"ended", body.at("attempts")}}).dump()};
  }
  const auto shard = body.at("shard").get<std::string>();
  const auto query = body.at("query").get<std::string>();
  const json hits =
      json::array({json::array({shard + "/1", 1.0, query + " from " + name_})});
  const json answer = {
      {"snapshot", body.at("snapshot")}, {"incarnation", "1"}, {"hits", hits}};
  return {200, "application/json", answer.dump()};
}

}  // namespace papayaglade
