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

/// One point of a latency curve.
struct percentile_point {
  double percentile = 0;  ///< As a share of 1.
  std::chrono::microseconds latency{0};
};

/// What one run of the load generator measured.
class bench_report {
 public:
  void Add(const bench_answer& answer, std::chrono::microseconds latency);

  std::size_t Queries() const { return latencies_.size(); }
  std::chrono::microseconds Percentile(double percentile) const;
  /// The curve that a plot shows, up to what the sample supports.
  std::vector<percentile_point> Curve() const;
  nlohmann::json ToJson() const;

  std::size_t unanswered = 0;  ///< Queries without an answer at the end.

 private:
  std::vector<std::int64_t> Sorted() const;
  nlohmann::json HistogramToJson() const;

  std::vector<std::int64_t> latencies_;  ///< Microseconds.
  std::map<std::string, std::uint64_t> outcomes_;
  double coverage_sum_ = 0;
  double min_coverage_ = 1;
  std::uint64_t shard_requests_ = 0;
  std::uint64_t retries_ = 0;
  std::uint64_t hedges_ = 0;
};

/// Reads the curve of a report that ToJson wrote; empty if it is none.
std::vector<percentile_point> CurveFromJson(const nlohmann::json& report);

}  // namespace papayaglade

#endif  // PAPAYAGLADE_APP_BENCH_REPORT_H_
