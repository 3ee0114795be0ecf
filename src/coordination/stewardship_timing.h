#ifndef PAPAYAGLADE_COORDINATION_STEWARDSHIP_TIMING_H_
#define PAPAYAGLADE_COORDINATION_STEWARDSHIP_TIMING_H_

#include <chrono>

namespace papayaglade {

/// Times of leases and takeovers. All instances of a data centre must use equal
/// values.
struct stewardship_timing {
  std::chrono::milliseconds lease{1000};
  std::chrono::milliseconds max_request_time{1300};
  /// Time for which peers alone may prove a steward while the platform is
  /// unreachable.
  std::chrono::milliseconds max_peer_proof_time{std::chrono::hours(1)};
};

/// Returns a delay that lasts at least `time` on every clock whose rate is
/// within 1 % of true time.
constexpr std::chrono::milliseconds WithClockMargin(
    std::chrono::milliseconds time) {
  constexpr int kDriftDivisor = 100;
  return time + time / kDriftDivisor + std::chrono::milliseconds(1);
}

}  // namespace papayaglade

#endif  // PAPAYAGLADE_COORDINATION_STEWARDSHIP_TIMING_H_
