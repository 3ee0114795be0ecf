#include "app/platform_session.h"

#include <thread>

#include "protocol/platform_codec.h"
#include "transport/http_call.h"

namespace papayaglade {

namespace {

constexpr std::chrono::milliseconds kCallTimeout{2000};

}  // namespace

platform_session::platform_session(const endpoint& platform)
    : platform_(platform) {}

platform_reply platform_session::Call(const platform_operation& operation) {
  const http_connection::outcome outcome =
      CallHttp(platform_, FormatPlatformCall(operation), kCallTimeout);
  if (!outcome.failure.has_value()) {
    return ParsePlatformReply(operation, outcome.status, outcome.body);
  }
  platform_reply reply;
  if (*outcome.failure == http_failure::kRefused) {
    reply.status = platform_status::kUnreachable;
  }
  return reply;
}

void platform_session::Pause(std::chrono::milliseconds length) {
  std::this_thread::sleep_for(length);
}

}  // namespace papayaglade
