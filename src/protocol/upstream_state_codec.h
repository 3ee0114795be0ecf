#ifndef PAPAYAGLADE_PROTOCOL_UPSTREAM_STATE_CODEC_H_
#define PAPAYAGLADE_PROTOCOL_UPSTREAM_STATE_CODEC_H_

#include <optional>
#include <string>

#include "state/upstream_messages.h"

namespace papayaglade {

/// Encodes what a steward hands over about one upstream.
std::string FormatUpstreamState(const upstream_state& state);

/// Returns nothing when `text` breaks the format.
std::optional<upstream_state> ParseUpstreamState(const std::string& text);

}  // namespace papayaglade

#endif  // PAPAYAGLADE_PROTOCOL_UPSTREAM_STATE_CODEC_H_
