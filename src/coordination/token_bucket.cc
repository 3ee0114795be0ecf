#include "coordination/token_bucket.h"

#include <algorithm>
#include <chrono>

namespace papayaglade {

bool token_bucket::TrySpend(double tokens, monotonic_time now) {
  if (filled_.has_value() && now > *filled_) {
    const std::chrono::duration<double> passed = now - *filled_;
    tokens_ = std::min(burst_, tokens_ + passed.count() * per_second_);
  }
  filled_ = std::max(now, filled_.value_or(now));
  if (tokens_ < tokens && tokens_ < burst_) return false;
  tokens_ -= tokens;
  return true;
}

}  // namespace papayaglade
