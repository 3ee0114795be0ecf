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

/// Until when upstreams that this instance has gained may still be used by
/// another process. See docs/design/stewardship.md.
class takeover_fence {
 public:
  takeover_fence(instance_identity self, stewardship_timing timing)
      : self_(std::move(self)), timing_(timing) {}

  /// The newest roster previous.
  void ApplyRoster(const roster& newest, monotonic_time now);
  /// Proven: the process has ended.
  void MarkTerminated(const instance_identity& process, monotonic_time now);
  /// `rival` answered that `epoch` is the newest it knows and that it has
  /// stopped using all upstreams lost up to `released_epoch`.
  void OnAnswer(const instance_identity& rival, std::uint64_t epoch,
                std::uint64_t released_epoch, monotonic_time now);
  /// The last steward of `upstream`, itself not fenced, has stopped and
  /// named this one by `epoch`. False when that is not this stewardship.
  bool OnHandover(const std::string& upstream, std::uint64_t epoch);

  /// When `upstream` is free of every rival; nothing if it is not
  /// own_upstreams.
  std::optional<monotonic_time> FencedUntil(const std::string& upstream) const;
  /// Members that have to confirm an epoch before peers alone prove it.
  std::vector<instance_identity> Confirmers(monotonic_time now) const;
  /// Rivals whose answer could end a fence sooner.
  std::vector<instance_identity> RivalsToAsk(monotonic_time now) const;

 private:
  struct rival {
    roster_member member;
    bool retired = false;
    bool unlisted = false;  ///< No list names it, so it counts as gone.
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
  std::uint64_t joined_epoch_ = 0;         ///< 0: not a member.
  std::map<std::uint64_t, rival> rivals_;  ///< By incarnation.
  std::map<std::string, gained_upstream> own_upstreams_;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_COORDINATION_TAKEOVER_FENCE_H_
