#ifndef PAPAYAGLADE_PROTOCOL_CLAIM_CODEC_H_
#define PAPAYAGLADE_PROTOCOL_CLAIM_CODEC_H_

#include <optional>
#include <string>

#include "state/claim.h"

namespace papayaglade {

/// The value of an object of kind `claim`.
std::string FormatClaim(const claim& value);
/// Returns nothing when `text` breaks the format.
std::optional<claim> ParseClaim(const std::string& text);

}  // namespace papayaglade

#endif  // PAPAYAGLADE_PROTOCOL_CLAIM_CODEC_H_
