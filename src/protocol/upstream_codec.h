#ifndef PAPAYAGLADE_PROTOCOL_UPSTREAM_CODEC_H_
#define PAPAYAGLADE_PROTOCOL_UPSTREAM_CODEC_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "protocol/http_message.h"
#include "state/shard_messages.h"

namespace papayaglade {

/// One shard request as an upstream sees it.
struct upstream_request {
  std::string attempt;  ///< Unique over all instances and their lives.
  std::string shard;
  std::uint64_t snapshot = 0;
  std::string request_id;
  std::string query;
  std::chrono::microseconds time_left{0};
  bool repeatable = true;
};

enum class upstream_verdict {
  kAnswered,
  kSnapshotGone,
  kShed,       ///< Refused before running: overloaded.
  kCold,       ///< Refused before running: in a cold start.
  kLeaving,    ///< Refused before running: leaving.
  kMalformed,  ///< The reply breaks the format; the request may have run.
};

/// An upstream's reply to a shard request.
struct upstream_reply {
  upstream_verdict verdict = upstream_verdict::kMalformed;
  std::uint64_t snapshot = 0;
  std::string incarnation;  ///< Changes when the upstream restarts.
  std::vector<hit> hits;
  std::vector<std::uint64_t> snapshots_held;
};

enum class upstream_phase { kWarm, kCold, kLeaving };

/// An upstream's own word on its state; it lags or misleads.
struct upstream_health {
  upstream_phase phase = upstream_phase::kWarm;
  std::string incarnation;
  int in_flight = 0;
  std::vector<std::uint64_t> snapshots;
};

/// Returns the identifier an upstream knows an attempt by.
std::string AttemptName(const instance_identity& origin,
                        std::uint64_t attempt_id);

http_request FormatUpstreamRequest(const upstream_request& request);
upstream_reply ParseUpstreamReply(int status, const std::string& body);

http_request FormatUpstreamCancel(const std::vector<std::string>& attempts);
/// Returns the attempts proven to run no more.
std::vector<std::string> ParseUpstreamCancelReply(int status,
                                                  const std::string& body);

http_request FormatHealthRequest();
/// Returns nothing when the reply breaks the format.
std::optional<upstream_health> ParseHealthReply(int status,
                                                const std::string& body);

}  // namespace papayaglade

#endif  // PAPAYAGLADE_PROTOCOL_UPSTREAM_CODEC_H_
