#ifndef PAPAYAGLADE_STATE_PEER_MESSAGE_H_
#define PAPAYAGLADE_STATE_PEER_MESSAGE_H_

#include <string>
#include <variant>

#include "state/control_message.h"
#include "state/identity.h"
#include "state/shard_messages.h"

namespace papayaglade {

/// The first message in each direction on a peer link. It proves that the
/// sender knows the peer key.
struct peer_hello {
  instance_identity identity;
  std::string data_centre;
  std::string peer_key;
};

/// Any message between two instances.
using peer_message = std::variant<peer_hello, shard_batch, shard_results,
                                  shard_cancel, control_message>;

}  // namespace papayaglade

#endif  // PAPAYAGLADE_STATE_PEER_MESSAGE_H_
