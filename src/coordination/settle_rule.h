#ifndef PAPAYAGLADE_COORDINATION_SETTLE_RULE_H_
#define PAPAYAGLADE_COORDINATION_SETTLE_RULE_H_

#include <cstddef>
#include <optional>

#include "state/configuration.h"
#include "state/time.h"

namespace papayaglade {

/// Decides when an answer is sent and whether it covers enough.
class settle_rule {
 public:
  /// `minimum` overrides the policy's own.
  settle_rule(const coverage_policy& policy, std::optional<double> minimum,
              monotonic_time start, monotonic_time deadline);

  /// The answer leaves by this time, a little before the caller's deadline.
  monotonic_time AnswerBy() const { return answer_by_; }
  /// From this time on less than full coverage may be settled for.
  monotonic_time SettleFrom() const { return settle_from_; }
  double Minimum() const { return minimum_coverage_; }

  bool MaySettle(std::size_t answered, std::size_t total,
                 monotonic_time now) const;
  bool CoversMinimum(std::size_t answered, std::size_t total) const;

 private:
  double minimum_coverage_;
  double settle_share_;
  monotonic_time settle_from_;
  monotonic_time answer_by_;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_COORDINATION_SETTLE_RULE_H_
