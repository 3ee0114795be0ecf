#ifndef PAPAYAGLADE_PROTOCOL_MIRROR_CODEC_H_
#define PAPAYAGLADE_PROTOCOL_MIRROR_CODEC_H_

#include <optional>
#include <string>

#include "protocol/store_format.h"
#include "state/mirror_message.h"

namespace papayaglade {

/// Encodes `message` as one CBOR array.
std::string EncodeMirrorMessage(const mirror_message& message);

/// Returns nothing when `bytes` is not a well-formed message.
std::optional<mirror_message> DecodeMirrorMessage(const std::string& bytes);

/// Between an object as the store gave it and as instances pass it on.
mirrored_object ToMirroredObject(const stored_object& object);
/// Content that cannot be read is null.
stored_object ToStoredObject(const mirrored_object& object);

/// What an instance enters of itself in the store, and reads of others.
stored_object EncodeMember(const fleet_member& member);
fleet_member DecodeMember(const stored_object& object);

}  // namespace papayaglade

#endif  // PAPAYAGLADE_PROTOCOL_MIRROR_CODEC_H_
