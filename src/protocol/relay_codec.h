#ifndef PAPAYAGLADE_PROTOCOL_RELAY_CODEC_H_
#define PAPAYAGLADE_PROTOCOL_RELAY_CODEC_H_

#include <optional>
#include <string>

#include "state/relay_message.h"

namespace papayaglade {

/// Encodes `message` as one CBOR document.
std::string EncodeRelayMessage(const relay_message& message);

/// Returns whether `bytes` begin like a relay message and not like another
/// message between instances.
bool IsRelayMessage(const std::string& bytes);

/// Decodes a message. Returns std::nullopt if it is malformed or exceeds a
/// limit.
std::optional<relay_message> DecodeRelayMessage(const std::string& bytes);

}  // namespace papayaglade

#endif  // PAPAYAGLADE_PROTOCOL_RELAY_CODEC_H_
