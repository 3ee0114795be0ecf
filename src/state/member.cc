#include "state/member.h"

namespace papayaglade {

const char* MemberStateName(member_state state) {
  switch (state) {
    case member_state::kHinted:
      return "hinted";
    case member_state::kAlive:
      return "alive";
    case member_state::kSuspect:
      return "suspect";
    case member_state::kDeadUnproven:
      return "dead_unproven";
    case member_state::kDeadProven:
      return "dead_proven";
    case member_state::kLeft:
      return "left";
  }
  return "";
}

}  // namespace papayaglade
