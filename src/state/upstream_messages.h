#ifndef PAPAYAGLADE_STATE_UPSTREAM_MESSAGES_H_
#define PAPAYAGLADE_STATE_UPSTREAM_MESSAGES_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "state/shard_messages.h"

namespace papayaglade {

/// The result of a shard request as reported by the upstream.
enum class upstream_reply_code {
  kAnswered,
  kSnapshotGone,
  kShed,       ///< Refused before running: overloaded.
  kCold,       ///< Refused before running: still cold.
  kLeaving,    ///< Refused before running: shutting down.
  kMalformed,  ///< The reply is malformed; the request may have run.
};

/// An upstream's reply to a shard request.
struct upstream_reply {
  upstream_reply_code code = upstream_reply_code::kMalformed;
  std::uint64_t snapshot = 0;
  std::string incarnation;  ///< Changes when the upstream restarts.
  std::vector<hit> hits;
  std::vector<std::uint64_t> snapshots_held;
};

/// The phase that an upstream reports in a health reply.
enum class upstream_phase { kWarm, kCold, kLeaving };

/// The state that an upstream reports of itself. It may lag or be wrong.
struct upstream_health {
  upstream_phase phase = upstream_phase::kWarm;
  std::string incarnation;
  int in_flight = 0;
  std::vector<std::uint64_t> snapshots;
};

/// The state of one upstream as seen by its steward.
enum class steward_phase {
  kUnknown,  ///< Nothing is known; treated as cold.
  kCold,
  kWarming,
  kWarm,
  kLeaving,
  kSilent,  ///< None of its connections answers.
  kLost,    ///< It refuses connections.
};

/// Returns the stable wire name of `phase`, such as "warming".
const char* StewardPhaseName(steward_phase phase);

/// The state of one upstream that a steward hands over to the next.
struct upstream_state {
  steward_phase phase = steward_phase::kUnknown;
  int limit = 0;
  std::string incarnation;
  /// Typical processing time; zero if unknown.
  std::chrono::microseconds typical_time{0};
  /// One element per request that may still be running: the time until it must
  /// have ended.
  std::vector<std::chrono::microseconds> in_flight;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_STATE_UPSTREAM_MESSAGES_H_
