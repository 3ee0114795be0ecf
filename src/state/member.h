#ifndef PAPAYAGLADE_STATE_MEMBER_H_
#define PAPAYAGLADE_STATE_MEMBER_H_

#include <cstdint>
#include <string>

#include "state/identity.h"
#include "state/time.h"

namespace papayaglade {

/// The state of a member of the data centre, as seen by one instance.
enum class member_state {
  kHinted,        ///< Known only from the platform's lagging list.
  kAlive,         ///< Answers probes, or a peer reports that it does.
  kSuspect,       ///< Did not answer; may still refute the suspicion.
  kDeadUnproven,  ///< Silent past the suspicion timeout; may be frozen.
  kDeadProven,    ///< Refuses connections, so the process has ended.
  kLeft,          ///< Announced that it leaves; may still be running.
};

/// Returns the wire name of `state`, such as "dead_unproven".
const char* MemberStateName(member_state state);

/// One entry of the membership list.
struct member {
  instance_identity identity;
  endpoint peers;
  member_state state = member_state::kHinted;
  /// Counter that the member increments to refute a suspicion.
  std::uint32_t refutation = 0;
  monotonic_time since;  ///< Time on the local clock at which `state` began.
  endpoint operators{};  ///< Address of its operator port.
};

/// The report of one instance to another about a member; see member_table.
struct member_update {
  instance_identity identity;
  endpoint peers;
  member_state state = member_state::kAlive;
  std::uint32_t refutation = 0;
  endpoint operators{};
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_STATE_MEMBER_H_
