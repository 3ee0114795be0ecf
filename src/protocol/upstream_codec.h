#ifndef PAPAYAGLADE_PROTOCOL_UPSTREAM_CODEC_H_
#define PAPAYAGLADE_PROTOCOL_UPSTREAM_CODEC_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "protocol/http_message.h"
#include "state/shard_messages.h"
#include "state/upstream_messages.h"

namespace papayaglade {

/// One shard request as it is sent to an upstream.
struct upstream_request {
  /// Attempt id, unique across all instances and restarts.
  std::string attempt;
  std::string shard;
  std::uint64_t snapshot = 0;
  std::string request_id;
  std::string query;
  std::chrono::microseconds time_left{0};
  bool repeatable = true;
};

/// Returns the identifier of an attempt in requests to upstreams.
std::string AttemptName(const instance_identity& origin,
                        std::uint64_t attempt_id);

http_request FormatUpstreamRequest(const upstream_request& request);
/// Parses the reply to a shard request. The reply code is kMalformed if the
/// reply is malformed.
upstream_reply ParseUpstreamReply(int status, const std::string& body);

http_request FormatUpstreamCancel(const std::vector<std::string>& attempts);
/// Returns the attempts that are proven to have ended; empty if the reply is
/// malformed.
std::vector<std::string> ParseUpstreamCancelReply(int status,
                                                  const std::string& body);

http_request FormatHealthRequest();
/// Returns std::nullopt if the reply is malformed.
std::optional<upstream_health> ParseHealthReply(int status,
                                                const std::string& body);

}  // namespace papayaglade

#endif  // PAPAYAGLADE_PROTOCOL_UPSTREAM_CODEC_H_
