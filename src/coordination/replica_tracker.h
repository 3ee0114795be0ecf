#ifndef PAPAYAGLADE_COORDINATION_REPLICA_TRACKER_H_
#define PAPAYAGLADE_COORDINATION_REPLICA_TRACKER_H_

#include <chrono>
#include <cstdint>
#include <vector>

#include "state/shard_messages.h"
#include "state/time.h"

namespace papayaglade {

/// What this entry instance has learnt of upstreams and of the way to their
/// stewards from its own requests.
class replica_tracker {
 public:
  void RecordSent(std::uint32_t upstream);
  /// The attempt ended without an answer to learn from.
  void RecordEnd(std::uint32_t upstream);
  void RecordAnswer(std::uint32_t upstream, std::chrono::microseconds time);

  /// Prefers other replicas for as long as `reason` makes likely.
  void RecordRefusal(std::uint32_t upstream, shard_reason reason,
                     monotonic_time now);
  bool IsAvoided(std::uint32_t upstream, monotonic_time now) const;

  void SetStewardDown(std::uint32_t steward, monotonic_time until);
  void SetStewardUp(std::uint32_t steward);
  bool IsStewardDown(std::uint32_t steward, monotonic_time now) const;

  /// Expected wait at the upstream, in comparable units.
  double LoadOf(std::uint32_t upstream) const;

 private:
  struct upstream_state {
    int in_flight = 0;
    double mean_time_us = 0;  ///< Moving average.
    monotonic_time avoid_until;
  };

  upstream_state& StateOf(std::uint32_t upstream);

  std::vector<upstream_state> upstreams_;
  std::vector<monotonic_time> steward_down_until_;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_COORDINATION_REPLICA_TRACKER_H_
