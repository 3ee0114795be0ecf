#ifndef PAPAYAGLADE_APP_BENCH_REPORT_H_
#define PAPAYAGLADE_APP_BENCH_REPORT_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "app/bench_target.h"

namespace papayaglade {

/// A point of a latency curve.
struct percentile_point {
  double percentile = 0;  ///< Percentile as a fraction from 0 to 1.
  std::chrono::microseconds latency{0};
};

/// Measurements of one run of the load generator.
class bench_report {
 public:
  void Add(const bench_answer& answer, std::chrono::microseconds latency);

  std::size_t Queries() const { return latencies_.size(); }
  /// Returns the latency at `percentile`, from 0 to 1; zero without queries.
  std::chrono::microseconds Percentile(double percentile) const;
  /// Returns the latencies at the percentiles of a plot; empty without queries.
  /// With few queries the highest percentiles are the maximum.
  std::vector<percentile_point> Curve() const;
  nlohmann::json ToJson() const;

  /// Queries without an answer at the end of the run.
  std::size_t unanswered = 0;

 private:
  std::vector<std::int64_t> Sorted() const;
  nlohmann::json HistogramToJson() const;

  std::vector<std::int64_t> latencies_;  ///< Latencies in microseconds.
  std::map<std::string, std::uint64_t> outcomes_;
  double coverage_sum_ = 0;
  double min_coverage_ = 1;
  std::uint64_t shard_requests_ = 0;
  std::uint64_t retries_ = 0;
  std::uint64_t hedges_ = 0;
};

/// Returns the curve of a report written by ToJson, or an empty curve if
/// `report` has none.
std::vector<percentile_point> CurveFromJson(const nlohmann::json& report);

}  // namespace papayaglade

#endif  // PAPAYAGLADE_APP_BENCH_REPORT_H_
