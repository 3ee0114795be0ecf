#ifndef PAPAYAGLADE_STATE_CLAIM_H_
#define PAPAYAGLADE_STATE_CLAIM_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "state/platform_messages.h"
#include "state/shard_messages.h"

namespace papayaglade {

/// How far a keyed request has come.
enum class claim_phase {
  kClaimed,   ///< Owned; no byte of the request has left.
  kSent,      ///< May have run.
  kDone,      ///< Ran; the result is recorded.
  kReleased,  ///< Proven not run; any repeat may claim it.
};

/// Returns the stable wire name of `phase`, such as "claimed".
const char* ClaimPhaseName(claim_phase phase);

/// The state of one keyed request that may run once only.
struct claim {
  claim_phase phase = claim_phase::kClaimed;
  std::string attempt;      ///< Unique over all instances and their lives.
  std::string fingerprint;  ///< Of the request; a repeat has the same.
  std::string upstream;     ///< Asked, or to be asked.
  std::chrono::milliseconds time_allowed{
      0};                 ///< The owner's time for the request.
  std::vector<hit> hits;  ///< With kDone.
};

/// What the platform said to a read or write of a claim.
struct claim_reply {
  platform_status status = platform_status::kLost;
  std::uint64_t version = 0;  ///< Of the stored claim.
  bool has_value = false;     ///< True with a read or a conflict.
  bool readable = true;       ///< False when the stored value is no claim.
  claim value;                ///< As stored, if `has_value` and `readable`.
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_STATE_CLAIM_H_
