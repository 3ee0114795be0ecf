#ifndef PAPAYAGLADE_COORDINATION_STEWARD_STANDING_H_
#define PAPAYAGLADE_COORDINATION_STEWARD_STANDING_H_

#include <cstdint>
#include <set>
#include <string>

#include "state/events.h"
#include "state/time.h"

namespace papayaglade {

/// This instance's right to send work, as the control duty last proved it.
class steward_standing {
 public:
  void Update(const standing_update& update);

  /// Whether this instance is steward of `upstream` at all.
  bool IsSteward(const std::string& upstream) const;

  /// Whether the last steward of `upstream` may still be sending.
  bool IsFenced(const std::string& upstream, monotonic_time now) const;
  monotonic_time FencedUntil() const { return fenced_until_; }

  /// Whether nobody can have superseded this instance yet.
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
