#ifndef PAPAYAGLADE_STATE_CONFIGURATION_H_
#define PAPAYAGLADE_STATE_CONFIGURATION_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "state/identity.h"

namespace papayaglade {

/// Priority class of a workload; an earlier class is admitted first.
enum class request_class { kCounter, kFull, kArchive };

/// Returns the wire name of `value`: "counter", "full" or "archive".
const char* RequestClassName(request_class value);

/// How much of the partition map an answer must cover, as shares of 1.
struct coverage_policy {
  double minimum = 1.0;  ///< Below this the caller gets a typed refusal.
  /// Share at which the answer is sent once `settle_after` has passed.
  double settle_at = 1.0;
  std::chrono::milliseconds settle_after{0};
};

/// What callers may ask of a service and what it may spend.
struct workload {
  std::string name;
  request_class priority = request_class::kCounter;
  bool repeatable = true;  ///< False for bookings: sent to an upstream once.
  std::chrono::milliseconds deadline{1000};
  coverage_policy coverage;
  bool hedging = true;
  double hedge_percentile = 0.98;  ///< Learnt response-time percentile.
  double extra_load = 0.05;        ///< Retries and hedges per first attempt.
  std::size_t results = 10;        ///< Hits kept in a merged answer.
};

/// What one upstream can bear.
struct upstream_limits {
  int slots = 1;        ///< Concurrent requests when warm.
  int cold_slots = 1;   ///< Concurrent requests when cold.
  int connections = 1;  ///< Open connections, warm or cold.
};

/// One back-end process of a service.
struct upstream_definition {
  std::string name;
  std::string data_centre;
  endpoint address;
  upstream_limits limits;
};

/// One service file: its upstreams and the workloads callers name.
struct service_definition {
  std::string name;
  std::vector<upstream_definition> upstreams;
  std::vector<workload> workloads;
};

/// The one configuration in force; `version` only ever grows.
struct configuration {
  std::uint64_t version = 0;
  std::string publication_id;
  std::vector<service_definition> services;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_STATE_CONFIGURATION_H_
