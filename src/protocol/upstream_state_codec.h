#ifndef PAPAYAGLADE_PROTOCOL_UPSTREAM_STATE_CODEC_H_
#define PAPAYAGLADE_PROTOCOL_UPSTREAM_STATE_CODEC_H_

#include <optional>
#include <string>

#include "state/upstream_messages.h"

namespace papayaglade {

/// Formats the state of one upstream that a steward hands over.
std::string FormatUpstreamState(const upstream_state& state);

/// Returns std::nullopt if `text` is malformed.
std::optional<upstream_state> ParseUpstreamState(const std::string& text);

}  // namespace papayaglade

#endif  // PAPAYAGLADE_PROTOCOL_UPSTREAM_STATE_CODEC_H_
