#ifndef PAPAYAGLADE_COORDINATION_TAKEOVER_FENCE_H_
#define PAPAYAGLADE_COORDINATION_TAKEOVER_FENCE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "coordination/stewardship_timing.h"
#include "state/cluster_view.h"
#include "state/time.h"

namespace papayaglade {

/// Computes until when another process may still use the upstreams that this
/// instance has become steward of. A rival is another process that was or is a
/// member of the roster. See docs/design/stewardship.md.
class takeover_fence {
 public:
  takeover_fence(instance_identity self, stewardship_timing timing)
      : self_(std::move(self)), timing_(timing) {}

  /// Applies `newest`, the newest known roster.
  void ApplyRoster(const roster& newest, monotonic_time now);
  /// Records that `process` has provably terminated.
  void MarkTerminated(const instance_identity& process, monotonic_time now);
  /// Records the answer of `rival`: `epoch` is the newest roster epoch that it
  /// knows, and it has stopped using all upstreams that it lost up to
  /// `released_epoch`.
  void OnAnswer(const instance_identity& rival, std::uint64_t epoch,
                std::uint64_t released_epoch, monotonic_time now);
  /// Records that the previous steward of `upstream`, which was not fenced
  /// itself, has stopped and handed over to this instance in `epoch`. Returns
  /// false if the handover does not belong to the current stewardship or was
  /// recorded before.
  bool OnHandover(const std::string& upstream, std::uint64_t epoch);

  /// Returns when the last rival has stopped using `upstream`, or nullopt if
  /// this instance is not its steward.
  std::optional<monotonic_time> FencedUntil(const std::string& upstream) const;
  /// Returns the members that have to confirm an epoch before peers alone can
  /// prove it.
  std::vector<instance_identity> Confirmers(monotonic_time now) const;
  /// Returns the rivals whose answer could end a fence sooner.
  std::vector<instance_identity> RivalsToAsk(monotonic_time now) const;

 private:
  struct rival {
    roster_member member;
    bool retired = false;
    /// Absent from the roster, so treated as terminated.
    bool unlisted = false;
    /// Since when the rival is known to have a roster that lists this instance,
    /// and so needs its confirmation; empty if never.
    std::optional<monotonic_time> requires_self_since;
    std::uint64_t released_epoch = 0;
    monotonic_time released_at;
    std::optional<monotonic_time> terminated_at;
  };
  struct gained_upstream {
    std::uint64_t since_epoch = 0;
    monotonic_time learned_at;
    bool handed_over = false;
  };

  void UpdateRivals(const roster& newest, monotonic_time now);
  void UpdateOwnUpstreams(const roster& newest, monotonic_time now);
  monotonic_time RivalActiveUntil(const rival& other,
                                  const gained_upstream& gained) const;
  monotonic_time FencedUntil(const gained_upstream& gained) const;

  instance_identity self_;
  stewardship_timing timing_;
  std::uint64_t joined_epoch_ = 0;  ///< 0 if this instance is not a member.
  /// The rivals, keyed by incarnation.
  std::map<std::uint64_t, rival> rivals_;
  std::map<std::string, gained_upstream> own_upstreams_;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_COORDINATION_TAKEOVER_FENCE_H_
