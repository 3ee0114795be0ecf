#ifndef PAPAYAGLADE_COORDINATION_SETTLE_RULE_H_
#define PAPAYAGLADE_COORDINATION_SETTLE_RULE_H_

#include <algorithm>
#include <cstddef>
#include <optional>

#include "state/configuration.h"
#include "state/time.h"

namespace papayaglade {

/// Decides when a query is answered and whether the answers cover its minimum.
class settle_rule {
 public:
  /// `minimum` overrides the minimum of the policy.
  settle_rule(const coverage_policy& policy, std::optional<double> minimum,
              monotonic_time start, monotonic_time deadline);

  /// Returns the time by which the answer is sent, a little before the
  /// deadline.
  monotonic_time AnswerBy() const { return answer_by_; }
  /// Moves the time of the answer to `time` if that is earlier.
  void FinishBy(monotonic_time time) {
    answer_by_ = std::min(answer_by_, time);
  }
  /// Returns the time from which less than full coverage may be accepted.
  monotonic_time SettleFrom() const { return settle_from_; }
  double Minimum() const { return minimum_coverage_; }

  /// Returns whether the query may be answered now.
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
