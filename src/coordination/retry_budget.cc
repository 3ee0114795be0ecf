#include "coordination/retry_budget.h"

#include <algorithm>

namespace papayaglade {

namespace {

// Bounds the burst of retries after a long time without failures. The balance
// covers the requests that one lost steward had in flight, not more.
constexpr double kMaxBalance = 256.0;

}  // namespace

void retry_budget::EarnFor(std::size_t first_attempts) {
  const double earned = share_ * static_cast<double>(first_attempts);
  balance_ = std::min(balance_ + earned, kMaxBalance);
}

bool retry_budget::TryTake() {
  if (balance_ < 1.0) return false;
  balance_ -= 1.0;
  return true;
}

}  // namespace papayaglade
