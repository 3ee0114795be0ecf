#include "coordination/settle_rule.h"

#include <algorithm>

namespace papayaglade {

namespace {

constexpr std::chrono::milliseconds kLeastMargin{1};
constexpr std::chrono::milliseconds kMostMargin{20};
constexpr int kMarginDivisor = 20;
// Shares such as 0.9 are not exact in binary; 9 of 10 must count as 0.9.
constexpr double kRounding = 1e-9;

monotonic_time::duration MarginOf(monotonic_time::duration allowed) {
  const monotonic_time::duration least = kLeastMargin;
  const monotonic_time::duration most = kMostMargin;
  return std::clamp(allowed / kMarginDivisor, least, most);
}

bool Covers(std::size_t answered, std::size_t total, double share) {
  return static_cast<double>(answered) + kRounding >=
         share * static_cast<double>(total);
}

}  // namespace

settle_rule::settle_rule(const coverage_policy& policy,
                         std::optional<double> minimum, monotonic_time start,
                         monotonic_time deadline)
    : minimum_(minimum.value_or(policy.minimum)),
      settle_at_(std::max(policy.settle_at, minimum_)),
      settle_from_(start + policy.settle_after),
      answer_by_(deadline - MarginOf(deadline - start)) {}

bool settle_rule::MaySettle(std::size_t answered, std::size_t total,
                            monotonic_time now) const {
  if (answered == total || now >= answer_by_) return true;
  return now >= settle_from_ && Covers(answered, total, settle_at_);
}

bool settle_rule::CoversMinimum(std::size_t answered, std::size_t total) const {
  return Covers(answered, total, minimum_);
}

}  // namespace papayaglade
