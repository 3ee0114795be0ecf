#ifndef PAPAYAGLADE_STATE_CLAIM_H_
#define PAPAYAGLADE_STATE_CLAIM_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "state/platform_messages.h"
#include "state/shard_messages.h"

namespace papayaglade {

/// The progress of a request that carries a request key.
enum class claim_phase {
  kClaimed,   ///< Owned; no byte of the request has been sent.
  kSent,      ///< Sent; the request may have run.
  kDone,      ///< The request ran and its result is recorded.
  kReleased,  ///< Proven not run; any repeat may claim it.
};

/// Returns the stable wire name of `phase`, such as "claimed".
const char* ClaimPhaseName(claim_phase phase);

/// The state of a request that carries a request key and may run only once.
struct claim {
  claim_phase phase = claim_phase::kClaimed;
  /// Attempt id, unique across all instances and restarts.
  std::string attempt;
  std::string fingerprint;  ///< Hash of the request; equal for a repeat.
  std::string upstream;     ///< The upstream that was or will be asked.
  /// Time that the owner has for the request.
  std::chrono::milliseconds time_allowed{0};
  std::vector<hit> hits;  ///< Set if `phase` is kDone.
};

/// The platform's reply to a read or write of a claim.
struct claim_reply {
  platform_status status = platform_status::kLost;
  std::uint64_t version = 0;  ///< Version of the stored claim.
  bool has_value = false;     ///< True after a read or a conflict.
  bool readable = true;       ///< False if the stored value is not a claim.
  claim value;                ///< Valid if `has_value` and `readable`.
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_STATE_CLAIM_H_
