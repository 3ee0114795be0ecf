#include "coordination/settle_rule.h"

#include <algorithm>

namespace papayaglade {

namespace {

constexpr std::chrono::milliseconds kMinMargin{1};
constexpr std::chrono::milliseconds kMaxMargin{20};
constexpr int kMarginDivisor = 20;
// Shares such as 0.9 are not exact in binary, and 9 of 10 must count as 0.9.
constexpr double kRounding = 1e-9;

monotonic_time::duration AnswerMargin(monotonic_time::duration allowed) {
  const monotonic_time::duration lower = kMinMargin;
  const monotonic_time::duration upper = kMaxMargin;
  return std::clamp(allowed / kMarginDivisor, lower, upper);
}

bool Covers(std::size_t answered, std::size_t total, double share) {
  return static_cast<double>(answered) + kRounding >=
         share * static_cast<double>(total);
}

}  // namespace

settle_rule::settle_rule(const coverage_policy& policy,
                         std::optional<double> minimum, monotonic_time start,
                         monotonic_time deadline)
    : minimum_coverage_(minimum.value_or(policy.minimum)),
      settle_share_(std::max(policy.settle_at, minimum_coverage_)),
      settle_from_(start + policy.settle_after),
      answer_by_(deadline - AnswerMargin(deadline - start)) {}

bool settle_rule::MaySettle(std::size_t answered, std::size_t total,
                            monotonic_time now) const {
  if (answered == total || now >= answer_by_) return true;
  return now >= settle_from_ && Covers(answered, total, settle_share_);
}

bool settle_rule::CoversMinimum(std::size_t answered, std::size_t total) const {
  return Covers(answered, total, minimum_coverage_);
}

}  // namespace papayaglade
