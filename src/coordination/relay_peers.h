#ifndef PAPAYAGLADE_COORDINATION_RELAY_PEERS_H_
#define PAPAYAGLADE_COORDINATION_RELAY_PEERS_H_

#include <chrono>
#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "coordination/observed_health.h"
#include "state/mirror_message.h"
#include "state/time.h"

namespace papayaglade {

/// Another instance that may relay for this one.
struct relay_peer {
  enum class link_state { kClosed, kOpening, kOpen };

  fleet_member member;
  link_state link = link_state::kClosed;
  /// After a failure the link is not opened before this time.
  monotonic_time dial_at;
  std::chrono::milliseconds backoff{0};
  observed_health health;
};

using relay_peer_pointer = std::shared_ptr<relay_peer>;

/// Chooses the instances of other data centres that relay for this one. Each
/// instance keeps links to a few of each data centre, so that all are used
/// alike, in proportion to their cores. The class does no I/O.
class relay_peers {
 public:
  /// Links that an instance keeps to each other data centre.
  static constexpr std::size_t kLinksPerDataCentre = 2;

  explicit relay_peers(fleet_member self);

  /// Sets the known instances. What is known of those that remain is kept.
  void SetMembers(const std::vector<fleet_member>& members);

  /// Returns the instance of `data_centre` to relay through, or null if there
  /// is no open link to a usable one.
  relay_peer_pointer Choose(const std::string& data_centre,
                            monotonic_time now) const;
  /// Returns the instances of `data_centre` to open links to now, and marks
  /// their links as opening.
  std::vector<relay_peer_pointer> TakeDials(const std::string& data_centre,
                                            monotonic_time now);

  static void OnOpen(relay_peer& peer);
  /// Records that the link to `peer` closed or could not be opened.
  static void OnClosed(relay_peer& peer, monotonic_time now);
  /// Records that `peer` is about to stop.
  static void OnStopping(relay_peer& peer, monotonic_time now);

 private:
  /// Returns the instances to use in the data centre, the best first, without
  /// those that wait for their next dial.
  std::vector<relay_peer_pointer> Preferred(const std::string& data_centre,
                                            monotonic_time now) const;

  fleet_member self_;
  std::map<std::string, relay_peer_pointer> by_name_;
  /// The instances of each data centre, ranked for this instance.
  std::map<std::string, std::vector<relay_peer_pointer>> ranked_;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_COORDINATION_RELAY_PEERS_H_
