#ifndef PAPAYAGLADE_COORDINATION_STANDING_PROOF_H_
#define PAPAYAGLADE_COORDINATION_STANDING_PROOF_H_

#include <chrono>
#include <optional>
#include <vector>

#include "coordination/stewardship_timing.h"
#include "state/identity.h"
#include "state/time.h"

namespace papayaglade {

/// Until when this instance may act as a sole steward. A proof counts from
/// when its question was sent. See docs/design/stewardship.md.
class standing_proof {
 public:
  explicit standing_proof(stewardship_timing timing) : timing_(timing) {}

  /// At `sent` or later the platform held no newer roster epoch.
  void AddPlatformProof(monotonic_time sent);
  /// At `sent` or later `peer` knew no newer roster epoch.
  void AddConfirmation(const instance_identity& peer, monotonic_time sent);
  /// When the newest confirmed question to `peer` was sent.
  std::optional<monotonic_time> ConfirmedAt(
      const instance_identity& peer) const;
  /// Counts the confirmations; all of `required` must stand in them.
  void UpdatePeerProof(const std::vector<instance_identity>& required);

  /// The end of the lease; the clock's epoch when there never was a proof.
  monotonic_time ProvenUntil() const;
  /// How long ago the platform proved the epoch, for peers that ask.
  std::optional<std::chrono::microseconds> PlatformProofAge(
      monotonic_time now) const;

 private:
  struct confirmation {
    instance_identity peer;
    monotonic_time sent;
  };

  stewardship_timing timing_;
  std::optional<monotonic_time> platform_proof_;
  std::optional<monotonic_time> peer_proof_;
  std::vector<confirmation> confirmations_;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_COORDINATION_STANDING_PROOF_H_
