#include "coordination/token_bucket.h"

#include <algorithm>
#include <chrono>

namespace papayaglade {

bool token_bucket::TrySpend(double tokens, monotonic_time now) {
  if (last_refill_at_.has_value() && now > *last_refill_at_) {
    const std::chrono::duration<double> passed = now - *last_refill_at_;
    tokens_ = std::min(burst_, tokens_ + passed.count() * per_second_);
  }
  last_refill_at_ = std::max(now, last_refill_at_.value_or(now));
  if (tokens_ < tokens && tokens_ < burst_) return false;
  tokens_ -= tokens;
  return true;
}

}  // namespace papayaglade
