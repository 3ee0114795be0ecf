#ifndef PAPAYAGLADE_APP_STEWARD_REPORT_H_
#define PAPAYAGLADE_APP_STEWARD_REPORT_H_

#include <string>
#include <vector>

#include "app/dispatch_adapter.h"
#include "coordination/metrics_sink.h"
#include "coordination/steward_standing.h"
#include "coordination/upstream_dispatcher.h"

namespace papayaglade {

/// The state of one upstream for status and metrics.
struct upstream_report {
  std::string name;
  upstream_limits limits;
  upstream_dispatcher::summary summary;
};

/// Formats the operators' status of the stewards as JSON text.
std::string FormatStewardStatus(const steward_standing& standing,
                                monotonic_time now,
                                const std::vector<upstream_report>& upstreams);

/// Sets the gauges of one upstream and adds its counts to the counters.
void ReportUpstream(metrics_sink& metrics, const upstream_report& upstream,
                    const dispatch_counts& counts);

}  // namespace papayaglade

#endif  // PAPAYAGLADE_APP_STEWARD_REPORT_H_
