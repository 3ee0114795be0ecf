#ifndef PAPAYAGLADE_PROTOCOL_PLATFORM_CODEC_H_
#define PAPAYAGLADE_PROTOCOL_PLATFORM_CODEC_H_

#include <string>

#include "protocol/http_message.h"
#include "state/platform_messages.h"

namespace papayaglade {

/// Formats `operation` as a request to the platform's Object API.
http_request FormatPlatformCall(const platform_operation& operation);

/// Parses the reply to `operation`. Returns kLost for a malformed reply,
/// because a write may have taken effect.
platform_reply ParsePlatformReply(const platform_operation& operation,
                                  int status, const std::string& body);

}  // namespace papayaglade

#endif  // PAPAYAGLADE_PROTOCOL_PLATFORM_CODEC_H_
