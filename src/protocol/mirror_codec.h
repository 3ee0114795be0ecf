#ifndef PAPAYAGLADE_PROTOCOL_MIRROR_CODEC_H_
#define PAPAYAGLADE_PROTOCOL_MIRROR_CODEC_H_

#include <optional>
#include <string>
#include <vector>

#include "protocol/store_format.h"
#include "state/mirror_message.h"

namespace papayaglade {

/// Encodes `message` as one CBOR array.
std::string EncodeMirrorMessage(const mirror_message& message);
/// Encodes a page as EncodeMirrorMessage does. A page may be large, and this
/// does not copy it into a message first.
std::string EncodeMirrorPage(const mirror_page& page);

/// Returns std::nullopt if `bytes` is not a well-formed message.
std::optional<mirror_message> DecodeMirrorMessage(const std::string& bytes);

/// Converts an object of the store to the form that instances exchange. The
/// reason why an object is unreadable is kept.
mirrored_object ToMirroredObject(const stored_object& object);
/// Returns a page of the store, with each object once, in the order of the last
/// changes. The store returns all states of an object since the last watch.
mirror_page ToMirrorPage(stored_kind kind, page_content content,
                         const store_position& from, const store_page& page);
/// Reverses ToMirroredObject. A document that is not valid CBOR
/// becomes an unreadable object.
stored_object ToStoredObject(const mirrored_object& object);
std::vector<stored_object> ToStoredObjects(
    const std::vector<mirrored_object>& objects);

/// Encodes the entry that an instance writes about itself to the store.
stored_object EncodeMember(const fleet_member& member);
/// Decodes the entry of an instance. Fields that are missing or have a wrong
/// type keep their default.
fleet_member DecodeMember(const stored_object& object);

}  // namespace papayaglade

#endif  // PAPAYAGLADE_PROTOCOL_MIRROR_CODEC_H_
