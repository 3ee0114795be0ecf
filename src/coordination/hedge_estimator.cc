#include "coordination/hedge_estimator.h"

#include <algorithm>

namespace papayaglade {

namespace {

constexpr unsigned kBins =
    160;  // Each bin is about 11 % wider than the one before.
constexpr double kMinUs = 10.0;
constexpr double kMaxUs = 100'000'000.0;
constexpr double kMinWeight = 200.0;
constexpr std::size_t kDecayInterval = 1024;
constexpr double kDecayFactor = 0.5;
constexpr double kMedian = 0.5;
constexpr int kMaxMedians = 3;

}  // namespace

hedge_estimator::hedge_estimator()
    : times_(boost::histogram::make_histogram_with(
          std::vector<double>(), time_axis(kBins, kMinUs, kMaxUs))) {}

void hedge_estimator::AddSample(std::chrono::microseconds time) {
  times_(static_cast<double>(time.count()));
  weight_ += 1.0;
  if (++samples_since_decay_ < kDecayInterval) return;
  samples_since_decay_ = 0;
  times_ *= kDecayFactor;
  weight_ *= kDecayFactor;
}

std::optional<std::chrono::microseconds> hedge_estimator::Percentile(
    double percentile) const {
  if (weight_ < kMinWeight) return std::nullopt;
  const double wanted = percentile * weight_;
  double seen = times_.at(-1);
  for (int bin = 0; bin < times_.axis().size(); ++bin) {
    seen += times_.at(bin);
    if (seen < wanted) continue;
    const double upper = times_.axis().bin(bin).upper();
    return std::chrono::microseconds(static_cast<std::int64_t>(upper));
  }
  return std::chrono::microseconds(static_cast<std::int64_t>(kMaxUs));
}

// Stragglers occupy slots, so requests queue behind them and the percentile
// rises. Hedging later because of that would let stragglers occupy slots even
// longer. The limit by the median breaks this loop, and the hedge budget bounds
// its cost.
std::optional<std::chrono::microseconds> hedge_estimator::Delay(
    double percentile) const {
  const auto estimated = Percentile(percentile);
  if (!estimated.has_value()) return std::nullopt;
  return std::min(*estimated, *Percentile(kMedian) * kMaxMedians);
}

}  // namespace papayaglade
