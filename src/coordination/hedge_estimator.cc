#include "coordination/hedge_estimator.h"

#include <algorithm>

namespace papayaglade {

namespace {

constexpr unsigned kBins = 160;  // Each bin is about 11 % wider than the last.
constexpr double kShortestUs = 10.0;
constexpr double kLongestUs = 100'000'000.0;
constexpr double kLeastWeight = 200.0;
constexpr std::size_t kFadePeriod = 1024;
constexpr double kFadeFactor = 0.5;
constexpr double kMedian = 0.5;
constexpr int kMostMedians = 3;

}  // namespace

hedge_estimator::hedge_estimator()
    : times_(boost::histogram::make_histogram_with(
          std::vector<double>(), time_axis(kBins, kShortestUs, kLongestUs))) {}

void hedge_estimator::Learn(std::chrono::microseconds time) {
  times_(static_cast<double>(time.count()));
  weight_ += 1.0;
  if (++since_fade_ < kFadePeriod) return;
  since_fade_ = 0;
  times_ *= kFadeFactor;
  weight_ *= kFadeFactor;
}

std::optional<std::chrono::microseconds> hedge_estimator::Percentile(
    double percentile) const {
  if (weight_ < kLeastWeight) return std::nullopt;
  const double wanted = percentile * weight_;
  double seen = times_.at(-1);
  for (int bin = 0; bin < times_.axis().size(); ++bin) {
    seen += times_.at(bin);
    if (seen < wanted) continue;
    const double upper = times_.axis().bin(bin).upper();
    return std::chrono::microseconds(static_cast<std::int64_t>(upper));
  }
  return std::chrono::microseconds(static_cast<std::int64_t>(kLongestUs));
}

// Stragglers block slots, so that requests queue behind them and the percentile
// rises; hedging later would let them block for longer still. The bound by the
// median breaks that circle, and the budget bounds what it costs.
std::optional<std::chrono::microseconds> hedge_estimator::Delay(
    double percentile) const {
  const auto learnt = Percentile(percentile);
  if (!learnt.has_value()) return std::nullopt;
  return std::min(*learnt, *Percentile(kMedian) * kMostMedians);
}

}  // namespace papayaglade
