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

/// How much of the partition map an answer must cover. Shares are in [0, 1].
struct coverage_policy {
  /// A smaller share gives the caller a typed error.
  double minimum = 1.0;
  /// Share that is sufficient to send the answer once `settle_after` has
  /// passed.
  double settle_at = 1.0;
  std::chrono::milliseconds settle_after{0};
};

/// A kind of request to a service, with its deadline, coverage and load limits.
struct workload {
  std::string name;
  request_class priority = request_class::kCounter;
  /// False for requests with side effects, such as bookings, which are sent to
  /// an upstream only once.
  bool repeatable = true;
  std::chrono::milliseconds deadline{1000};
  coverage_policy coverage;
  bool hedging = true;
  /// Percentile of the measured response times after which a request is hedged.
  double hedge_percentile = 0.98;
  double extra_load = 0.05;  ///< Maximum retries and hedges per first attempt.
  std::size_t results = 10;  ///< Maximum number of hits in a merged answer.
};

/// The capacity of one upstream.
struct upstream_limits {
  int slots = 1;        ///< Maximum concurrent requests when warm.
  int cold_slots = 1;   ///< Maximum concurrent requests when cold.
  int connections = 1;  ///< Maximum open connections, warm or cold.
};

/// One backend process of a service.
struct upstream_definition {
  std::string name;
  std::string data_centre;
  endpoint address;
  upstream_limits limits;
};

/// The contents of one service file: the upstreams of the service and the
/// workloads that callers can request.
struct service_definition {
  std::string name;
  std::vector<upstream_definition> upstreams;
  std::vector<workload> workloads;
};

/// The configuration in force. `version` never decreases.
struct configuration {
  std::uint64_t version = 0;
  std::string publication_id;
  std::vector<service_definition> services;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_STATE_CONFIGURATION_H_
