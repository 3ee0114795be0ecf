#ifndef PAPAYAGLADE_STATE_PEER_MESSAGE_H_
#define PAPAYAGLADE_STATE_PEER_MESSAGE_H_

#include <string>
#include <variant>

#include "state/control_message.h"
#include "state/identity.h"
#include "state/shard_messages.h"

namespace papayaglade {

/// First message each way on a peer link; proves knowledge of the peer key.
struct peer_hello {
  instance_identity identity;
  std::string data_centre;
  std::string peer_key;
};

/// Everything two instances say to each other.
using peer_message = std::variant<peer_hello, shard_batch, shard_results,
                                  shard_cancel, control_message>;

}  // namespace papayaglade

#endif  // PAPAYAGLADE_STATE_PEER_MESSAGE_H_
