#ifndef PAPAYAGLADE_APP_METRICS_REGISTRY_H_
#define PAPAYAGLADE_APP_METRICS_REGISTRY_H_

#include <boost/histogram.hpp>
#include <map>
#include <mutex>
#include <string>
#include <utility>

#include "coordination/metrics_sink.h"

namespace papayaglade {

/// Holds all metrics of one instance and formats them for Prometheus.
/// Thread-safe.
class metrics_registry : public metrics_sink {
 public:
  void Record(const request_sample& sample) override;
  void Add(counter_metric metric, const std::string& label,
           std::uint64_t count) override;
  void Set(gauge_metric metric, const std::string& label,
           double value) override;

  /// Returns the last value set, or 0 if none was set.
  double Gauge(gauge_metric metric, const std::string& label) const;

  /// Returns all metrics in the Prometheus text format.
  std::string Format() const;

 private:
  using latency_axis =
      boost::histogram::axis::regular<double,
                                      boost::histogram::axis::transform::log>;
  using coverage_axis = boost::histogram::axis::regular<>;
  using latency_histogram =
      decltype(boost::histogram::make_histogram(std::declval<latency_axis>()));
  using coverage_histogram =
      decltype(boost::histogram::make_histogram(std::declval<coverage_axis>()));

  /// Measurements of one combination of workload, class and caller.
  struct series {
    series();
    latency_histogram latency;  ///< Latencies in seconds.
    coverage_histogram coverage;
    double latency_sum = 0;
    double coverage_sum = 0;
    std::map<std::string, std::uint64_t> outcomes;
  };
  /// Ordered by workload, then class name, then caller.
  struct series_key {
    std::string workload;
    std::string priority;
    std::string caller;
    bool operator<(const series_key& other) const;
  };

  /// Returns the series of `sample`, or a shared series if there are too many.
  series& FindOrAddSeries(const request_sample& sample);

  mutable std::mutex mutex_;
  std::map<series_key, series> requests_;
  std::map<std::pair<counter_metric, std::string>, std::uint64_t> counters_;
  std::map<std::pair<gauge_metric, std::string>, double> gauges_;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_APP_METRICS_REGISTRY_H_
