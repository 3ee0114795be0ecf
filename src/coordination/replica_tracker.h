#ifndef PAPAYAGLADE_COORDINATION_REPLICA_TRACKER_H_
#define PAPAYAGLADE_COORDINATION_REPLICA_TRACKER_H_

#include <chrono>
#include <cstdint>
#include <vector>

#include "state/shard_messages.h"
#include "state/time.h"

namespace papayaglade {

/// Tracks the state of upstreams and of the links to their stewards, as seen
/// from the requests of this entry instance.
class replica_tracker {
 public:
  /// Records that an attempt was sent.
  void RecordSent(std::uint32_t upstream);
  /// Records that an attempt ended without a usable answer.
  void RecordEnd(std::uint32_t upstream);
  /// Records an answer and its response time.
  void RecordAnswer(std::uint32_t upstream, std::chrono::microseconds time);

  /// Records a refusal: other replicas are preferred for a time that depends on
  /// `reason`.
  void RecordRefusal(std::uint32_t upstream, shard_reason reason,
                     monotonic_time now);
  bool IsAvoided(std::uint32_t upstream, monotonic_time now) const;

  void SetStewardDown(std::uint32_t steward, monotonic_time until);
  void SetStewardUp(std::uint32_t steward);
  bool IsStewardDown(std::uint32_t steward, monotonic_time now) const;

  /// Returns the expected response time of the upstream, for comparison only.
  double LoadOf(std::uint32_t upstream) const;

 private:
  struct upstream_state {
    int in_flight = 0;
    /// Moving average of the response time; 0 before the first answer.
    double mean_time_us = 0;
    monotonic_time avoid_until;
  };

  upstream_state& StateOf(std::uint32_t upstream);

  std::vector<upstream_state> upstreams_;
  std::vector<monotonic_time> steward_down_until_;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_COORDINATION_REPLICA_TRACKER_H_
