#ifndef PAPAYAGLADE_COORDINATION_LATENCY_QUANTILE_H_
#define PAPAYAGLADE_COORDINATION_LATENCY_QUANTILE_H_

#include <chrono>

namespace papayaglade {

/// Estimates one quantile of a stream of latencies in constant space. Each
/// sample moves the estimate up or down by a step proportional to the estimate.
class latency_quantile {
 public:
  /// `quantile` is between 0 and 1; `start` is the initial estimate.
  latency_quantile(double quantile, std::chrono::microseconds start);

  void Add(std::chrono::microseconds sample);
  std::chrono::microseconds Estimate() const;

 private:
  double quantile_;
  double estimate_us_;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_COORDINATION_LATENCY_QUANTILE_H_
