#ifndef PAPAYAGLADE_APP_PEER_ACTIONS_H_
#define PAPAYAGLADE_APP_PEER_ACTIONS_H_

#include <vector>

#include "app/control_component.h"
#include "coordination/peer_action.h"

namespace papayaglade {

/// Performs the actions on peers that a state machine requested.
void PerformPeerActions(std::vector<peer_action> actions,
                        control_context& context);

}  // namespace papayaglade

#endif  // PAPAYAGLADE_APP_PEER_ACTIONS_H_
