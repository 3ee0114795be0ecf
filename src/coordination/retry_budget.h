#ifndef PAPAYAGLADE_COORDINATION_RETRY_BUDGET_H_
#define PAPAYAGLADE_COORDINATION_RETRY_BUDGET_H_

#include <cstddef>

namespace papayaglade {

/// Limits repeated work to a share of first attempts. At any time at most
/// `share` x first attempts + kInitialBalance units have been taken in total.
class retry_budget {
 public:
  /// Units that may be taken before the first ones are earned.
  static constexpr double kInitialBalance = 4.0;

  explicit retry_budget(double share) : share_(share) {}

  /// Sets the share, which may change with the configuration.
  void SetShare(double share) { share_ = share; }
  /// Adds the units that the first attempts earn, up to a maximum balance.
  void EarnFor(std::size_t first_attempts);
  /// Takes one unit; returns false if none is left.
  bool TryTake();

 private:
  double share_;
  double balance_ = kInitialBalance;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_COORDINATION_RETRY_BUDGET_H_
