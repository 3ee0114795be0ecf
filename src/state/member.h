#ifndef PAPAYAGLADE_STATE_MEMBER_H_
#define PAPAYAGLADE_STATE_MEMBER_H_

#include <cstdint>
#include <string>

#include "state/identity.h"
#include "state/time.h"

namespace papayaglade {

/// What an instance believes of one member of its data centre.
enum class member_state {
  kHinted,        ///< Named by a lagging list; not heard of otherwise.
  kAlive,         ///< Answers probes, or a peer says so.
  kSuspect,       ///< Did not answer; may still refute.
  kDeadUnproven,  ///< Silent past the suspicion time; may only be frozen.
  kDeadProven,    ///< Its address refuses connections: the process is gone.
  kLeft,          ///< Announced its own end; its process may still run.
};

/// Returns the wire name of `state`, such as "dead_unproven".
const char* MemberStateName(member_state state);

/// One member as membership knows it.
struct member {
  instance_identity identity;
  endpoint peers;
  member_state state = member_state::kHinted;
  std::uint32_t refutation = 0;  ///< Raised by the member to refute suspicion.
  monotonic_time since;          ///< When `state` began, by this clock.
  endpoint operators{};          ///< Where operators reach the instance.
};

/// What one instance tells another about a member; see member_table.
struct member_update {
  instance_identity identity;
  endpoint peers;
  member_state state = member_state::kAlive;
  std::uint32_t refutation = 0;
  endpoint operators{};
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_STATE_MEMBER_H_
