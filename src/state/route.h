#ifndef PAPAYAGLADE_STATE_ROUTE_H_
#define PAPAYAGLADE_STATE_ROUTE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

namespace papayaglade {

/// All requests of a route go to one service.
struct single_target {
  std::string service;
};

/// One service of a weighted route.
struct weighted_service {
  std::string service;
  double weight = 1;
};

/// Requests of a route are distributed over services by weight.
struct weighted_target {
  std::vector<weighted_service> services;
};

/// Each request asks every shard, and the records found are merged.
struct fanout_target {
  std::vector<std::string> shards;  ///< One service a shard.
  std::size_t top_records = 0;      ///< How many records a caller wants.
  double minimum_coverage = 0;      ///< Least share of shards in a success.
};

using route_target =
    std::variant<single_target, weighted_target, fanout_target>;

/// Where requests of one host and path prefix go, and what they may cost.
struct route {
  std::string name;
  std::string host;
  std::string path_prefix;  ///< Begins and ends with a slash.
  route_target target;
  bool idempotent = false;
  std::size_t max_attempts = 1;          ///< Upstreams asked, for each shard.
  std::chrono::milliseconds timeout{0};  ///< Zero: none.
  std::chrono::milliseconds latency_target{0};  ///< Zero: none.
  int priority = 0;                             ///< 0 is the most urgent.
};

/// What the upstreams of one service bear.
struct service_limits {
  std::string name;
  std::size_t connections = 1;  ///< An upstream accepts, from all instances.
  std::chrono::milliseconds warmup{0};
  double warmup_requests_per_second =
      0;  ///< A cold upstream bears; zero: not stated.
};

/// What callers may send, and how slowly.
struct caller_limits {
  std::size_t header_bytes = 16 * 1024;
  std::size_t body_bytes = 256 * 1024;
  std::chrono::milliseconds header_timeout{3000};
  std::chrono::milliseconds idle_timeout{15000};
};

/// One version of everything that operators declare.
struct tier_configuration {
  std::int64_t version = 0;
  std::vector<route> routes;
  std::map<std::string, service_limits> services;
  caller_limits limits;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_STATE_ROUTE_H_
