#ifndef PAPAYAGLADE_COORDINATION_PEER_ACTION_H_
#define PAPAYAGLADE_COORDINATION_PEER_ACTION_H_

#include <string>
#include <variant>

#include "state/control_message.h"
#include "state/identity.h"

namespace papayaglade {

struct send_to_peer {
  std::string peer;
  control_message message;
};

/// Dials afresh to learn whether the process is gone.
struct dial_peer {
  std::string peer;
};

/// Passes on where a peer accepts links.
struct set_peer_address {
  instance_identity peer;
  endpoint address;
};

struct forget_peer {
  std::string peer;
};

/// What a state machine of this layer asks of the peers duty.
using peer_action =
    std::variant<send_to_peer, dial_peer, set_peer_address, forget_peer>;

}  // namespace papayaglade

#endif  // PAPAYAGLADE_COORDINATION_PEER_ACTION_H_
