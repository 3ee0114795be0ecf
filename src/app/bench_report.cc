#include "app/bench_report.h"

#include <algorithm>
#include <boost/histogram.hpp>

namespace papayaglade {

namespace {

using nlohmann::json;

constexpr double kPercentiles[] = {0.0,  0.25, 0.5,   0.75,  0.9,   0.95,
                                   0.98, 0.99, 0.995, 0.998, 0.999, 1.0};
constexpr unsigned kBinCount = 48;
constexpr double kMinLatencyUs = 100;
constexpr double kMaxLatencyUs = 100'000'000;

double Ratio(double part, double whole) {
  return whole == 0 ? 0 : part / whole;
}

}  // namespace

void bench_report::Add(const bench_answer& answer,
                       std::chrono::microseconds latency) {
  latencies_.push_back(latency.count());
  ++outcomes_[answer.outcome];
  coverage_sum_ += answer.coverage;
  min_coverage_ = std::min(min_coverage_, answer.coverage);
  shard_requests_ += static_cast<std::uint64_t>(answer.shards);
  retries_ += static_cast<std::uint64_t>(answer.retries);
  hedges_ += static_cast<std::uint64_t>(answer.hedges);
}

std::chrono::microseconds bench_report::Percentile(double percentile) const {
  const std::vector<std::int64_t> sorted = Sorted();
  if (sorted.empty()) return std::chrono::microseconds(0);
  const auto rank =
      static_cast<std::size_t>(percentile * static_cast<double>(sorted.size()));
  return std::chrono::microseconds(sorted[std::min(rank, sorted.size() - 1)]);
}

std::vector<percentile_point> bench_report::Curve() const {
  std::vector<percentile_point> curve;
  const std::vector<std::int64_t> sorted = Sorted();
  if (sorted.empty()) return curve;
  const auto size = static_cast<double>(sorted.size());
  for (const double each : kPercentiles) {
    const auto rank =
        std::min(static_cast<std::size_t>(each * size), sorted.size() - 1);
    curve.push_back({each, std::chrono::microseconds(sorted[rank])});
  }
  return curve;
}

nlohmann::json bench_report::ToJson() const {
  json curve = json::array();
  for (const percentile_point& each : Curve()) {
    curve.push_back(
        {{"percentile", each.percentile}, {"us", each.latency.count()}});
  }
  const auto queries = static_cast<double>(Queries());
  const auto shards = static_cast<double>(shard_requests_);
  return {
      {"queries", Queries()},
      {"unanswered", unanswered},
      {"outcomes", outcomes_},
      {"p50_us", Percentile(0.5).count()},
      {"p99_us", Percentile(0.99).count()},
      {"p999_us", Percentile(0.999).count()},
      {"coverage_mean", Ratio(coverage_sum_, queries)},
      {"coverage_least", Queries() == 0 ? 0 : min_coverage_},
      {"shard_requests", shard_requests_},
      {"retries", retries_},
      {"hedges", hedges_},
      {"extra_load", Ratio(static_cast<double>(retries_ + hedges_), shards)},
      {"curve", std::move(curve)},
      {"histogram", HistogramToJson()}};
}

std::vector<std::int64_t> bench_report::Sorted() const {
  std::vector<std::int64_t> sorted = latencies_;
  std::sort(sorted.begin(), sorted.end());
  return sorted;
}

nlohmann::json bench_report::HistogramToJson() const {
  namespace bh = boost::histogram;
  using log_axis = bh::axis::regular<double, bh::axis::transform::log>;
  auto histogram =
      bh::make_histogram(log_axis(kBinCount, kMinLatencyUs, kMaxLatencyUs));
  for (const std::int64_t each : latencies_) {
    histogram(static_cast<double>(each));
  }
  json bins = json::array();
  for (auto&& bin : bh::indexed(histogram)) {
    if (*bin == 0) continue;
    bins.push_back({{"from_us", bin.bin().lower()},
                    {"to_us", bin.bin().upper()},
                    {"queries", static_cast<std::uint64_t>(*bin)}});
  }
  return bins;
}

std::vector<percentile_point> CurveFromJson(const nlohmann::json& report) {
  std::vector<percentile_point> curve;
  if (!report.is_object() || !report.contains("curve")) return curve;
  for (const json& each : report.at("curve")) {
    curve.push_back({each.value("percentile", 0.0),
                     std::chrono::microseconds(each.value("us", 0LL))});
  }
  return curve;
}

}  // namespace papayaglade
