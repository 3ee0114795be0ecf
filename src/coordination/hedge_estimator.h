#ifndef PAPAYAGLADE_COORDINATION_HEDGE_ESTIMATOR_H_
#define PAPAYAGLADE_COORDINATION_HEDGE_ESTIMATOR_H_

#include <boost/histogram.hpp>
#include <chrono>
#include <cstddef>
#include <optional>
#include <utility>
#include <vector>

namespace papayaglade {

/// Estimates the response times of one workload's shard requests. Old samples
/// decay, so that the estimate follows the load.
class hedge_estimator {
 public:
  hedge_estimator();

  /// Adds the response time of an answer, or the age at which a pending attempt
  /// was cancelled.
  void AddSample(std::chrono::microseconds time);

  /// Returns the time within which the share `percentile` (0 to 1) of the
  /// requests is answered; nothing as long as there are too few samples.
  std::optional<std::chrono::microseconds> Percentile(double percentile) const;

  /// Returns the hedge delay: the percentile, but at most a multiple of the
  /// median. Returns nothing as long as there are too few samples.
  std::optional<std::chrono::microseconds> Delay(double percentile) const;

 private:
  using time_axis =
      boost::histogram::axis::regular<double,
                                      boost::histogram::axis::transform::log>;
  using histogram = decltype(boost::histogram::make_histogram_with(
      std::vector<double>(), std::declval<time_axis>()));

  histogram times_;
  double weight_ = 0;
  std::size_t samples_since_decay_ = 0;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_COORDINATION_HEDGE_ESTIMATOR_H_
