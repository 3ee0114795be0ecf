#ifndef PAPAYAGLADE_PROTOCOL_CONTROL_CODEC_H_
#define PAPAYAGLADE_PROTOCOL_CONTROL_CODEC_H_

#include <nlohmann/json.hpp>
#include <optional>

#include "state/control_message.h"

namespace papayaglade {

/// Encodes `message` as an array whose first element is the type number.
nlohmann::json EncodeControlMessage(const control_message& message);

/// Returns std::nullopt for an unknown message type. Throws a std::exception if
/// the message is malformed, which DecodePeerMessage catches.
std::optional<control_message> DecodeControlMessage(const nlohmann::json& in);

}  // namespace papayaglade

#endif  // PAPAYAGLADE_PROTOCOL_CONTROL_CODEC_H_
