#ifndef PAPAYAGLADE_COORDINATION_TOKEN_BUCKET_H_
#define PAPAYAGLADE_COORDINATION_TOKEN_BUCKET_H_

#include <optional>

#include "state/time.h"

namespace papayaglade {

/// Bounds a rate: tokens come in steadily, up to `burst`, and are spent.
class token_bucket {
 public:
  token_bucket(double per_second, double burst)
      : per_second_(per_second), burst_(burst), tokens_(burst) {}

  /// Spends `tokens` if there are as many, or if the bucket is full: so a
  /// want above the burst is still met, and paid for afterwards.
  bool TrySpend(double tokens, monotonic_time now);

 private:
  double per_second_;
  double burst_;
  double tokens_;
  std::optional<monotonic_time> filled_;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_COORDINATION_TOKEN_BUCKET_H_
