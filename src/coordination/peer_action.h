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

/// Opens a new connection to find out whether the process has terminated.
struct dial_peer {
  std::string peer;
};

/// Sets the address where a peer accepts links.
struct set_peer_address {
  instance_identity peer;
  endpoint address;
};

struct forget_peer {
  std::string peer;
};

/// An action that a state machine of this layer requests from the peers worker.
using peer_action =
    std::variant<send_to_peer, dial_peer, set_peer_address, forget_peer>;

}  // namespace papayaglade

#endif  // PAPAYAGLADE_COORDINATION_PEER_ACTION_H_
