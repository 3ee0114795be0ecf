#ifndef PAPAYAGLADE_PROTOCOL_PLATFORM_CODEC_H_
#define PAPAYAGLADE_PROTOCOL_PLATFORM_CODEC_H_

#include <string>

#include "protocol/http_message.h"
#include "state/platform_messages.h"

namespace papayaglade {

http_request FormatPlatformCall(const platform_operation& operation);

/// Reads the answer to `operation`. A reply that breaks the format gives
/// kLost, because a write behind it may have taken effect.
platform_reply ParsePlatformReply(const platform_operation& operation,
                                  int status, const std::string& body);

}  // namespace papayaglade

#endif  // PAPAYAGLADE_PROTOCOL_PLATFORM_CODEC_H_
