#ifndef PAPAYAGLADE_STATE_UPSTREAM_MESSAGES_H_
#define PAPAYAGLADE_STATE_UPSTREAM_MESSAGES_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "state/shard_messages.h"

namespace papayaglade {

enum class upstream_reply_code {
  kAnswered,
  kSnapshotGone,
  kShed,       ///< Refused before running: overloaded.
  kCold,       ///< Refused before running: in a cold start.
  kLeaving,    ///< Refused before running: leaving.
  kMalformed,  ///< The reply breaks the format; the request may have run.
};

/// An upstream's reply to a shard request.
struct upstream_reply {
  upstream_reply_code code = upstream_reply_code::kMalformed;
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

/// What a steward believes of one upstream.
enum class steward_phase {
  kUnknown,  ///< Nothing is known; counts as cold.
  kCold,
  kWarming,
  kWarm,
  kLeaving,
  kSilent,  ///< No connection of it answers.
  kLost,    ///< It refuses connections.
};

/// Returns the stable wire name of `phase`, such as "warming".
const char* StewardPhaseName(steward_phase phase);

/// What one steward passes to the next about one upstream.
struct upstream_state {
  steward_phase phase = steward_phase::kUnknown;
  int limit = 0;
  std::string incarnation;
  std::chrono::microseconds typical_time{0};  ///< Zero when not learnt.
  /// For each request whose end is not proven, when it must have ended.
  std::vector<std::chrono::microseconds> in_flight;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_STATE_UPSTREAM_MESSAGES_H_
