#include "coordination/standing_proof.h"

#include <algorithm>

namespace papayaglade {

void standing_proof::AddPlatformProof(monotonic_time sent) {
  platform_proven_at_ = std::max(platform_proven_at_.value_or(sent), sent);
}

void standing_proof::AddConfirmation(const instance_identity& peer,
                                     monotonic_time sent) {
  for (confirmation& each : confirmations_) {
    if (each.peer != peer) continue;
    each.sent = std::max(each.sent, sent);
    return;
  }
  confirmations_.push_back({peer, sent});
}

std::optional<monotonic_time> standing_proof::ConfirmedAt(
    const instance_identity& peer) const {
  for (const confirmation& each : confirmations_) {
    if (each.peer == peer) return each.sent;
  }
  return std::nullopt;
}

// An instance that takes over does not confirm. A round without the
// confirmation of any required member may lack exactly that instance.
void standing_proof::UpdatePeerProof(
    const std::vector<instance_identity>& required) {
  const auto is_required = [&required](const confirmation& each) {
    return std::find(required.begin(), required.end(), each.peer) !=
           required.end();
  };
  confirmations_.erase(
      std::remove_if(confirmations_.begin(), confirmations_.end(),
                     [&is_required](const confirmation& each) {
                       return !is_required(each);
                     }),
      confirmations_.end());
  if (required.empty() || confirmations_.size() < required.size()) return;
  const auto oldest =
      std::min_element(confirmations_.begin(), confirmations_.end(),
                       [](const confirmation& a, const confirmation& b) {
                         return a.sent < b.sent;
                       });
  peer_proven_at_ =
      std::max(peer_proven_at_.value_or(oldest->sent), oldest->sent);
}

monotonic_time standing_proof::ProvenUntil() const {
  if (!platform_proven_at_) return monotonic_time{};
  monotonic_time base = *platform_proven_at_;
  if (peer_proven_at_) {
    // Instances that take over without reaching the others rely on this limit.
    base = std::max(
        base, std::min(*peer_proven_at_, base + timing_.max_peer_proof_time));
  }
  return base + timing_.lease;
}

std::optional<std::chrono::microseconds> standing_proof::PlatformProofAge(
    monotonic_time now) const {
  if (!platform_proven_at_) return std::nullopt;
  return std::chrono::ceil<std::chrono::microseconds>(now -
                                                      *platform_proven_at_);
}

}  // namespace papayaglade
