#ifndef PAPAYAGLADE_COORDINATION_BACKOFF_H_
#define PAPAYAGLADE_COORDINATION_BACKOFF_H_

#include <chrono>
#include <random>

namespace papayaglade {

/// Waits between tries that double up to a bound, each with jitter.
class backoff {
 public:
  backoff(std::chrono::milliseconds initial, std::chrono::milliseconds maximum)
      : initial_(initial), max_(maximum), next_(initial) {}

  /// Between half of the present wait and all of it; doubles the next one.
  std::chrono::milliseconds Next(std::mt19937_64& random);
  void Reset() { next_ = initial_; }

 private:
  std::chrono::milliseconds initial_;
  std::chrono::milliseconds max_;
  std::chrono::milliseconds next_;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_COORDINATION_BACKOFF_H_
