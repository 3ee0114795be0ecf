#include "coordination/relay_peers.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "coordination/rendezvous.h"

namespace papayaglade {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kInitialBackoff{250};
constexpr milliseconds kMaxBackoff{4000};
// A stopping process is replaced by then.
constexpr milliseconds kStoppingBackoff{8000};
constexpr double kUnknownCores = 1;

// Weighted rendezvous hashing: the lowest rank wins, in proportion to the
// cores.
double RankOf(const std::string& self, const fleet_member& member) {
  const double share = std::ldexp(
      static_cast<double>(RendezvousWeight(self, member.name)) + 1, -64);
  const double cores = member.cores > 0 ? member.cores : kUnknownCores;
  return -std::log(share) / cores;
}

double CostOf(const relay_peer& peer, monotonic_time now) {
  const double cores =
      peer.member.cores > 0 ? peer.member.cores : kUnknownCores;
  return peer.health.Slowness(now) * (1 + peer.health.FailureShare(now)) *
         (1 + static_cast<double>(peer.health.PendingCount())) / cores;
}

}  // namespace

relay_peers::relay_peers(fleet_member self) : self_(std::move(self)) {}

void relay_peers::SetMembers(const std::vector<fleet_member>& members) {
  std::map<std::string, relay_peer_pointer> kept;
  ranked_.clear();
  for (const fleet_member& each : members) {
    const bool usable = each.control.port != 0 && !each.data_centre.empty() &&
                        each.data_centre != self_.data_centre &&
                        each.name != self_.name;
    if (!usable) continue;
    const auto known = by_name_.find(each.name);
    const bool same = known != by_name_.end() &&
                      known->second->member.control == each.control;
    relay_peer_pointer peer =
        same ? known->second : std::make_shared<relay_peer>();
    peer->member = each;
    ranked_[each.data_centre].push_back(peer);
    kept.emplace(each.name, std::move(peer));
  }
  by_name_ = std::move(kept);
  for (auto& each : ranked_) {
    std::sort(each.second.begin(), each.second.end(),
              [&](const relay_peer_pointer& a, const relay_peer_pointer& b) {
                return RankOf(self_.name, a->member) <
                       RankOf(self_.name, b->member);
              });
  }
}

relay_peer_pointer relay_peers::Choose(const std::string& data_centre,
                                       monotonic_time now) const {
  relay_peer_pointer best;
  for (const relay_peer_pointer& each : Preferred(data_centre, now)) {
    if (each->link != relay_peer::link_state::kOpen) continue;
    if (each->health.BlockedUntil() > now) continue;
    if (best == nullptr || CostOf(*each, now) < CostOf(*best, now)) best = each;
  }
  return best;
}

std::vector<relay_peer_pointer> relay_peers::TakeDials(
    const std::string& data_centre, monotonic_time now) {
  std::vector<relay_peer_pointer> dials;
  for (const relay_peer_pointer& each : Preferred(data_centre, now)) {
    if (each->link != relay_peer::link_state::kClosed) continue;
    each->link = relay_peer::link_state::kOpening;
    dials.push_back(each);
  }
  return dials;
}

void relay_peers::OnOpen(relay_peer& peer) {
  peer.link = relay_peer::link_state::kOpen;
}

void relay_peers::OnClosed(relay_peer& peer, monotonic_time now) {
  peer.link = relay_peer::link_state::kClosed;
  peer.backoff = std::clamp(2 * peer.backoff, kInitialBackoff, kMaxBackoff);
  peer.dial_at = std::max(peer.dial_at, now + peer.backoff);
}

void relay_peers::OnStopping(relay_peer& peer, monotonic_time now) {
  peer.dial_at = now + kStoppingBackoff;
}

std::vector<relay_peer_pointer> relay_peers::Preferred(
    const std::string& data_centre, monotonic_time now) const {
  std::vector<relay_peer_pointer> preferred;
  const auto found = ranked_.find(data_centre);
  if (found == ranked_.end()) return preferred;
  for (const relay_peer_pointer& each : found->second) {
    if (each->dial_at > now) continue;
    preferred.push_back(each);
    if (preferred.size() == kLinksPerDataCentre) break;
  }
  return preferred;
}

}  // namespace papayaglade
