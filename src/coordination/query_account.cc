#include "coordination/query_account.h"

#include <algorithm>
#include <map>
#include <string>
#include <utility>

namespace papayaglade {

namespace {

constexpr double kPercent = 100.0;

std::string FormatPercent(double share) {
  const auto tenths = static_cast<int>(share * kPercent * 10);
  return std::to_string(tenths / 10) + "." + std::to_string(tenths % 10) + " %";
}

shard_reason MostFrequentReason(const account& details) {
  std::map<shard_reason, int> counts;
  for (const shard_account& line : details.shards) {
    if (line.outcome != shard_outcome::kAnswered) ++counts[line.reason];
  }
  const auto most_frequent = std::max_element(
      counts.begin(), counts.end(),
      [](const auto& a, const auto& b) { return a.second < b.second; });
  return most_frequent == counts.end() ? shard_reason::kNone
                                       : most_frequent->first;
}

}  // namespace

double ShareOf(std::size_t part, std::size_t whole) {
  if (whole == 0) return 0;
  return static_cast<double>(part) / static_cast<double>(whole);
}

error NoSnapshotError() {
  return {error_kind::kUnavailable, "/workload",
          "the service of this workload has no index snapshot",
          "try again when the index pipeline has published a snapshot"};
}

caller_outcome ShortfallOutcome(account details, double minimum,
                                bool may_have_run) {
  const std::string message =
      "covered " + FormatPercent(details.coverage) + " of the shards, needs " +
      FormatPercent(minimum) +
      "; most of the rest: " + ShardReasonName(MostFrequentReason(details));
  if (may_have_run) {
    return below_coverage{
        {error_kind::kBelowCoverage, "/minimum_coverage", message,
         "ask again, allow more deadline_ms, or accept a lower "
         "minimum_coverage"},
        std::move(details)};
  }
  return not_run{{error_kind::kUnavailable, "", message,
                  "nothing ran: try again, or ask another instance"},
                 std::move(details)};
}

}  // namespace papayaglade
