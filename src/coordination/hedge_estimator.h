#ifndef PAPAYAGLADE_COORDINATION_HEDGE_ESTIMATOR_H_
#define PAPAYAGLADE_COORDINATION_HEDGE_ESTIMATOR_H_

#include <boost/histogram.hpp>
#include <chrono>
#include <cstddef>
#include <optional>
#include <utility>
#include <vector>

namespace papayaglade {

/// Learns the response times of one workload's shard requests; old samples
/// fade, so that the estimate follows the load.
class hedge_estimator {
 public:
  hedge_estimator();

  /// Adds the time of an answer, or of an attempt cancelled while unanswered.
  void AddSample(std::chrono::microseconds time);

  /// The time that share `percentile` of requests stay under; nothing while
  /// too few samples are known.
  std::optional<std::chrono::microseconds> Percentile(double percentile) const;

  /// When to hedge: after the percentile, or sooner if that lies far above the
  /// median.
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
