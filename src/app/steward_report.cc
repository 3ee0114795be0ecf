#include "app/steward_report.h"

#include <nlohmann/json.hpp>

namespace papayaglade {

namespace {

using nlohmann::json;

json FormatUpstream(const upstream_report& upstream) {
  const upstream_dispatcher::summary& summary = upstream.summary;
  return {{"name", upstream.name},
          {"phase", StewardPhaseName(summary.phase)},
          {"cause", PhaseCauseName(summary.cause)},
          {"limit", summary.limit},
          {"slots", upstream.limits.slots},
          {"cold_slots", upstream.limits.cold_slots},
          {"in_flight", summary.in_flight},
          {"unproven", summary.unproven},
          {"connections", summary.connections},
          {"retired_connections", summary.retired_connections},
          {"connection_limit", upstream.limits.connections},
          {"queued", summary.queued},
          {"blocked", ShardReasonName(summary.blocked)}};
}

}  // namespace

std::string FormatStewardStatus(const steward_standing& standing,
                                monotonic_time now,
                                const std::vector<upstream_report>& upstreams) {
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
      standing.ProvenUntil() - now);
  json list = json::array();
  for (const upstream_report& each : upstreams) {
    list.push_back(FormatUpstream(each));
  }
  const bool proven = standing.IsProven(now);
  const json document = {{"roster_epoch", standing.RosterEpoch()},
                         {"standing_proven", proven},
                         {"lease_left_ms", proven ? left.count() : 0},
                         {"upstreams", list}};
  return document.dump();
}

void ReportUpstream(metrics_sink& metrics, const upstream_report& upstream,
                    const dispatch_counts& counts) {
  const upstream_dispatcher::summary& summary = upstream.summary;
  metrics.Set(gauge_metric::kUpstreamInFlight, upstream.name,
              summary.in_flight);
  metrics.Set(gauge_metric::kUpstreamLimit, upstream.name, summary.limit);
  metrics.Set(gauge_metric::kUpstreamPhase, upstream.name,
              static_cast<double>(summary.phase));
  if (counts.requests > 0) {
    metrics.Add(counter_metric::kUpstreamRequests, upstream.name,
                counts.requests);
  }
  if (counts.losses > 0) {
    metrics.Add(counter_metric::kUpstreamLosses, upstream.name, counts.losses);
  }
  for (std::size_t i = 0; i < counts.refusals.size(); ++i) {
    if (counts.refusals[i] == 0) continue;
    metrics.Add(counter_metric::kShardRefusals,
                ShardReasonName(static_cast<shard_reason>(i)),
                counts.refusals[i]);
  }
}

}  // namespace papayaglade
