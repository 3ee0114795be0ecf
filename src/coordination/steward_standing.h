#ifndef PAPAYAGLADE_COORDINATION_STEWARD_STANDING_H_
#define PAPAYAGLADE_COORDINATION_STEWARD_STANDING_H_

#include <cstdint>
#include <set>
#include <string>

#include "state/events.h"
#include "state/time.h"

namespace papayaglade {

/// The right of this instance to send work, as the control worker last proved
/// it.
class steward_standing {
 public:
  void Update(const standing_update& update);

  /// Returns whether this instance is steward of `upstream`, fenced or not.
  bool IsSteward(const std::string& upstream) const;

  /// Returns whether the previous steward of `upstream` may still be sending.
  bool IsFenced(const std::string& upstream, monotonic_time now) const;
  monotonic_time FencedUntil() const { return fenced_until_; }

  /// Returns whether no other instance can have superseded this one yet.
  bool IsProven(monotonic_time now) const { return now < proven_until_; }

  monotonic_time ProvenUntil() const { return proven_until_; }
  std::uint64_t RosterEpoch() const { return roster_epoch_; }

 private:
  std::uint64_t roster_epoch_ = 0;
  monotonic_time proven_until_{};
  std::set<std::string> upstreams_;
  std::set<std::string> fenced_;
  monotonic_time fenced_until_{};
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_COORDINATION_STEWARD_STANDING_H_
