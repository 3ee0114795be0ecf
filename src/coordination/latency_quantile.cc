#include "coordination/latency_quantile.h"

#include <algorithm>

namespace papayaglade {

namespace {

constexpr double kStep = 0.03;
constexpr double kMinMicroseconds = 100;

}  // namespace

latency_quantile::latency_quantile(double quantile,
                                   std::chrono::microseconds start)
    : quantile_(quantile), estimate_us_(static_cast<double>(start.count())) {}

void latency_quantile::Add(std::chrono::microseconds sample) {
  const bool above = static_cast<double>(sample.count()) > estimate_us_;
  const double move = above ? quantile_ : quantile_ - 1;
  estimate_us_ = std::max(kMinMicroseconds, estimate_us_ * (1 + kStep * move));
}

std::chrono::microseconds latency_quantile::Estimate() const {
  return std::chrono::microseconds(static_cast<std::int64_t>(estimate_us_));
}

}  // namespace papayaglade
