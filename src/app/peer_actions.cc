#include "app/peer_actions.h"

#include <utility>

namespace papayaglade {

namespace {

struct peer_action_visitor {
  control_context& context;

  void operator()(send_to_peer& action) const {
    // A message that is not queued counts as lost on the network; the state
    // machines repeat messages that matter.
    context.Send(action.peer, std::move(action.message));
  }
  void operator()(const dial_peer& action) const {
    context.Peers().Dial(action.peer);
  }
  void operator()(const set_peer_address& action) const {
    context.Peers().SetAddress(action.peer, action.address);
  }
  void operator()(const forget_peer& action) const {
    context.Peers().Forget(action.peer);
  }
};

}  // namespace

void PerformPeerActions(std::vector<peer_action> actions,
                        control_context& context) {
  for (peer_action& each : actions)
    std::visit(peer_action_visitor{context}, each);
}

}  // namespace papayaglade
