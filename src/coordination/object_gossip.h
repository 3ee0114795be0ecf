#ifndef PAPAYAGLADE_COORDINATION_OBJECT_GOSSIP_H_
#define PAPAYAGLADE_COORDINATION_OBJECT_GOSSIP_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "coordination/object_store.h"
#include "coordination/peer_action.h"
#include "coordination/token_bucket.h"
#include "state/time.h"

namespace papayaglade {

/// Propagates the newest version of every shared object to every instance:
/// announces a new version to a few peers, and exchanges digests that correct
/// missed announcements. See docs/design/spread.md.
class object_gossip {
 public:
  /// Puts an object into force; returns false if its value cannot be used.
  using accept_function = std::function<bool(const versioned_object&)>;

  object_gossip(accept_function accept, std::uint64_t seed);

  /// Accepts an object that was read from the platform or created here, and
  /// announces it to peers. Returns false if its version is not newer than
  /// every known one or if `accept` refused it.
  bool Offer(const versioned_object& object, monotonic_time now);

  /// Sets the members of this data centre. Each change is announced to a few of
  /// them, chosen at random.
  void SetMembers(std::vector<std::string> members);
  /// Sets the peers in other data centres, to which every change is announced.
  void SetGateways(std::vector<std::string> gateways);

  void OnTick(monotonic_time now);
  void OnMessage(const std::string& from, const control_message& message,
                 monotonic_time now);

  std::vector<peer_action> TakeActions();
  const object_store& Store() const { return store_; }
  /// Returns when a peer or the caller of Confirm last had the same versions.
  std::optional<monotonic_time> LastConfirmedAt() const {
    return last_confirmed_at_;
  }
  void Confirm(monotonic_time now) { last_confirmed_at_ = now; }

 private:
  struct wanted_object {
    std::uint64_t version = 0;
    /// Peers that hold the object and were not asked yet.
    std::deque<std::string> sources;
    std::string requested_from;
    /// Deadline of the reply of `requested_from`.
    monotonic_time reply_deadline;
  };

  void Receive(const std::string& from, const probe_reply& message,
               monotonic_time now);
  void Receive(const std::string& from, const version_summary& message,
               monotonic_time now);
  void Receive(const std::string& from, const version_digest& message,
               monotonic_time now);
  void Receive(const std::string& from, const object_request& message,
               monotonic_time now);
  void Receive(const std::string& from, const object_reply& message,
               monotonic_time now);

  void CompareSummary(const std::string& from, std::uint64_t versions_hash,
                      monotonic_time now);
  void AddSource(const std::string& from, const version_entry& entry,
                 monotonic_time now);
  void RequestFromNextSource(const object_key& key, monotonic_time now);
  void ReplyToDigest(const std::string& from, const version_digest& digest);
  void Announce(const versioned_object& object, const std::string& source);
  bool Accept(const versioned_object& object, const std::string& source,
              monotonic_time now);
  void Send(const std::string& peer, control_message message);

  accept_function accept_;
  std::mt19937_64 random_;
  object_store store_;
  // Holds the newest version that `accept_` refused.
  std::map<object_key, std::uint64_t> rejected_versions_;
  std::map<object_key, wanted_object> wanted_objects_;
  // The time of the last digest, keyed by peer.
  std::map<std::string, monotonic_time> digest_sent_at_;
  std::vector<std::string> members_;
  std::vector<std::string> gateways_;
  token_bucket reply_byte_budget_;
  std::optional<monotonic_time> next_summary_at_;
  std::optional<monotonic_time> last_confirmed_at_;
  std::vector<peer_action> actions_;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_COORDINATION_OBJECT_GOSSIP_H_
