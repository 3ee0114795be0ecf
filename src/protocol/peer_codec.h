#ifndef PAPAYAGLADE_PROTOCOL_PEER_CODEC_H_
#define PAPAYAGLADE_PROTOCOL_PEER_CODEC_H_

#include <optional>
#include <string>

#include "state/peer_message.h"

namespace papayaglade {

/// Encodes `message` as one CBOR array.
std::string EncodePeerMessage(const peer_message& message);

/// Returns std::nullopt if `bytes` is not a well-formed message.
std::optional<peer_message> DecodePeerMessage(const std::string& bytes);

}  // namespace papayaglade

#endif  // PAPAYAGLADE_PROTOCOL_PEER_CODEC_H_
