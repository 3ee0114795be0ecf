#ifndef PAPAYAGLADE_COORDINATION_STANDING_PROOF_H_
#define PAPAYAGLADE_COORDINATION_STANDING_PROOF_H_

#include <chrono>
#include <optional>
#include <vector>

#include "coordination/stewardship_timing.h"
#include "state/identity.h"
#include "state/time.h"

namespace papayaglade {

/// Computes until when this instance may act as the only steward. A proof is
/// dated from when its question was sent. See docs/design/stewardship.md.
class standing_proof {
 public:
  explicit standing_proof(stewardship_timing timing) : timing_(timing) {}

  /// Records that the platform held no newer roster epoch at `sent` or later.
  void AddPlatformProof(monotonic_time sent);
  /// Records that `peer` knew no newer roster epoch at `sent` or later.
  void AddConfirmation(const instance_identity& peer, monotonic_time sent);
  /// Returns when the newest confirmed question to `peer` was sent, or nullopt.
  std::optional<monotonic_time> ConfirmedAt(
      const instance_identity& peer) const;
  /// Updates the proof by peers if all of `required` have confirmed, and
  /// discards the confirmations of others.
  void UpdatePeerProof(const std::vector<instance_identity>& required);

  /// Returns the end of the lease; the epoch of the clock if there never was a
  /// proof.
  monotonic_time ProvenUntil() const;
  /// Returns the age of the last platform proof, for peers that ask; nullopt if
  /// there was none.
  std::optional<std::chrono::microseconds> PlatformProofAge(
      monotonic_time now) const;

 private:
  struct confirmation {
    instance_identity peer;
    monotonic_time sent;
  };

  stewardship_timing timing_;
  std::optional<monotonic_time> platform_proven_at_;
  std::optional<monotonic_time> peer_proven_at_;
  std::vector<confirmation> confirmations_;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_COORDINATION_STANDING_PROOF_H_
