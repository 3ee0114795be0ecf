#ifndef PAPAYAGLADE_COORDINATION_RETRY_BUDGET_H_
#define PAPAYAGLADE_COORDINATION_RETRY_BUDGET_H_

#include <cstddef>

namespace papayaglade {

/// Bounds repeated work to a share of first attempts. At any moment no more
/// than `share` x first attempts + kInitialBalance units were taken in total.
class retry_budget {
 public:
  /// Units that may be taken before any are earned.
  static constexpr double kInitialBalance = 4.0;

  explicit retry_budget(double share) : share_(share) {}

  /// The share may change with the configuration.
  void SetShare(double share) { share_ = share; }
  void EarnFor(std::size_t first_attempts);
  /// Takes one unit; false when none is left.
  bool TryTake();

 private:
  double share_;
  double balance_ = kInitialBalance;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_COORDINATION_RETRY_BUDGET_H_
