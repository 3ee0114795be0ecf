#ifndef PAPAYAGLADE_COORDINATION_BACKOFF_H_
#define PAPAYAGLADE_COORDINATION_BACKOFF_H_

#include <chrono>
#include <random>

namespace papayaglade {

/// Exponential backoff with jitter: the delays double up to a maximum.
class backoff {
 public:
  backoff(std::chrono::milliseconds initial, std::chrono::milliseconds maximum)
      : initial_(initial), max_(maximum), next_(initial) {}

  /// Returns a random delay between half of the current one and all of it, and
  /// doubles the next one.
  std::chrono::milliseconds Next(std::mt19937_64& random);
  /// Makes the next delay the initial one again.
  void Reset() { next_ = initial_; }

 private:
  std::chrono::milliseconds initial_;
  std::chrono::milliseconds max_;
  std::chrono::milliseconds next_;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_COORDINATION_BACKOFF_H_
