#ifndef PAPAYAGLADE_COORDINATION_STEWARDSHIP_TIMING_H_
#define PAPAYAGLADE_COORDINATION_STEWARDSHIP_TIMING_H_

#include <chrono>

namespace papayaglade {

/// The times that standing and takeover are built from; equal in all instances
/// of a data centre.
struct stewardship_timing {
  std::chrono::milliseconds lease{1000};
  std::chrono::milliseconds max_request_time{1300};
  /// How long peers alone may keep a steward proven with the platform out.
  std::chrono::milliseconds max_peer_proof_time{std::chrono::hours(1)};
};

/// A wait of at least `time` by every clock that runs within 1 % of true.
constexpr std::chrono::milliseconds WithClockMargin(
    std::chrono::milliseconds time) {
  constexpr int kDriftDivisor = 100;
  return time + time / kDriftDivisor + std::chrono::milliseconds(1);
}

}  // namespace papayaglade

#endif  // PAPAYAGLADE_COORDINATION_STEWARDSHIP_TIMING_H_
