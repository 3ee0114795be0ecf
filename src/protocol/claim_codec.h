#ifndef PAPAYAGLADE_PROTOCOL_CLAIM_CODEC_H_
#define PAPAYAGLADE_PROTOCOL_CLAIM_CODEC_H_

#include <optional>
#include <string>

#include "state/claim.h"

namespace papayaglade {

/// Formats the value of a platform object of kind `claim`.
std::string FormatClaim(const claim& value);
/// Returns std::nullopt if `text` is malformed.
std::optional<claim> ParseClaim(const std::string& text);

}  // namespace papayaglade

#endif  // PAPAYAGLADE_PROTOCOL_CLAIM_CODEC_H_
