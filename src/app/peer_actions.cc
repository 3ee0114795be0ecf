#include "app/peer_actions.h"

#include <utility>

namespace papayaglade {

namespace {

struct performer {
  control_context& context;

  void operator()(send_to_peer& action) const {
    // A message that finds no room is lost like one on the way; the state
    // machines repeat what matters.
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
  for (peer_action& each : actions) std::visit(performer{context}, each);
}

}  // namespace papayaglade
