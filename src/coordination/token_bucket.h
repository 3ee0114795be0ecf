#ifndef PAPAYAGLADE_COORDINATION_TOKEN_BUCKET_H_
#define PAPAYAGLADE_COORDINATION_TOKEN_BUCKET_H_

#include <optional>

#include "state/time.h"

namespace papayaglade {

/// Limits a rate: tokens accumulate at a fixed rate, up to `burst`, and are
/// spent.
class token_bucket {
 public:
  token_bucket(double per_second, double burst)
      : per_second_(per_second), burst_(burst), tokens_(burst) {}

  /// Spends `tokens` if that many are available or if the bucket is full. A
  /// request above the burst is therefore granted too and leaves a debt.
  bool TrySpend(double tokens, monotonic_time now);

 private:
  double per_second_;
  double burst_;
  double tokens_;
  std::optional<monotonic_time> last_refill_at_;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_COORDINATION_TOKEN_BUCKET_H_
