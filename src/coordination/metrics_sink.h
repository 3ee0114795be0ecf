#ifndef PAPAYAGLADE_COORDINATION_METRICS_SINK_H_
#define PAPAYAGLADE_COORDINATION_METRICS_SINK_H_

#include <chrono>
#include <cstdint>
#include <string>

#include "state/configuration.h"

namespace papayaglade {

/// Measurements of one finished request of a caller.
struct request_sample {
  std::string workload;
  request_class priority = request_class::kCounter;
  std::string caller;
  /// One of "answered", "not_run", "unknown" and "below_coverage".
  std::string outcome;
  std::chrono::microseconds latency{0};
  double coverage = 0;
};

/// Counters; the comments name the label of each.
enum class counter_metric {
  kFirstAttempts,     ///< workload
  kRetries,           ///< workload
  kHedges,            ///< workload
  kShardRefusals,     ///< reason
  kUpstreamRequests,  ///< upstream
  kUpstreamLosses,    ///< upstream
  kPlatformCalls,     ///< outcome
  kRosterChanges,     ///< data centre
  kUnanswered,        ///< by
};

/// Gauges; the comments name the label of each.
enum class gauge_metric {
  kUpstreamInFlight,  ///< upstream; includes attempts whose end is not proven
  kUpstreamLimit,     ///< upstream
  kUpstreamPhase,     ///< upstream; numeric value of the phase
  kQueueLength,       ///< class
  kQueriesInFlight,   ///< "all"
  kConfiguration,     ///< "version"
  kMembersAlive,      ///< data centre
};

/// Receives the measurements of the workers. Implementations are thread-safe.
class metrics_sink {
 public:
  virtual ~metrics_sink() = default;
  virtual void Record(const request_sample& sample) = 0;
  virtual void Add(counter_metric metric, const std::string& label,
                   std::uint64_t count) = 0;
  virtual void Set(gauge_metric metric, const std::string& label,
                   double value) = 0;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_COORDINATION_METRICS_SINK_H_
