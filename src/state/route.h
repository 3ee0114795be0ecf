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

/// Sends all requests of a route to one service.
struct single_target {
  std::string service;
};

/// One service of a weighted route.
struct weighted_service {
  std::string service;
  double weight = 1;
};

/// Distributes the requests of a route over services by weight.
struct weighted_target {
  std::vector<weighted_service> services;
};

/// Sends each request to every shard and merges the records found.
struct fanout_target {
  std::vector<std::string> shards;  ///< One service per shard.
  std::size_t top_records = 0;      ///< Number of records in a merged answer.
  double minimum_coverage = 0;      ///< Share of shards that a success needs.
};

using route_target =
    std::variant<single_target, weighted_target, fanout_target>;

/// The target and the limits of requests with one host and path prefix.
struct route {
  std::string name;
  std::string host;
  std::string path_prefix;  ///< Starts and ends with a slash.
  route_target target;
  bool idempotent = false;
  std::size_t max_attempts = 1;  ///< Maximum number of attempts per shard.
  /// Time limit; zero means no timeout.
  std::chrono::milliseconds timeout{0};
  /// Latency target; zero means no target.
  std::chrono::milliseconds latency_target{0};
  int priority = 0;  ///< 0 is the most urgent.
};

/// The limits of the upstreams of one service.
struct service_limits {
  std::string name;
  /// Maximum number per upstream, over all instances.
  std::size_t connections = 1;
  std::chrono::milliseconds warmup{0};
  /// Request rate that a cold upstream can serve; zero if not specified.
  double warmup_requests_per_second = 0;
};

/// Limits on the size and the duration of callers' requests.
struct caller_limits {
  std::size_t header_bytes = 16 * 1024;
  std::size_t body_bytes = 256 * 1024;
  std::chrono::milliseconds header_timeout{3000};
  std::chrono::milliseconds idle_timeout{15000};
};

/// One version of the configuration that operators declare.
struct tier_configuration {
  std::int64_t version = 0;
  std::vector<route> routes;
  std::map<std::string, service_limits> services;
  caller_limits limits;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_STATE_ROUTE_H_
