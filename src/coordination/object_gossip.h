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

/// Brings the newest version of every shared object to every instance, by
/// announcements to a few peers and digests that correct what those missed.
/// See docs/design/gossip.md.
class object_gossip {
 public:
  /// Puts an object into force; false when its value cannot be used.
  using accept_function = std::function<bool(const versioned_object&)>;

  object_gossip(accept_function accept, std::uint64_t seed);

  /// Takes an object from the platform or made here, and tells peers. False
  /// unless its version is above the highest seen and `accept` took it.
  bool Offer(const versioned_object& object, monotonic_time now);

  /// Members of the own data centre; a few, at random, are recipients of a
  /// change.
  void SetMembers(std::vector<std::string> members);
  /// Peers in other data centres that are recipients of every change.
  void SetGateways(std::vector<std::string> gateways);

  void OnTick(monotonic_time now);
  void OnMessage(const std::string& from, const control_message& message,
                 monotonic_time now);

  std::vector<peer_action> TakeActions();
  const object_store& Store() const { return store_; }
  /// When a peer or the caller of Confirm last had the same versions.
  std::optional<monotonic_time> LastConfirmedAt() const {
    return last_confirmed_at_;
  }
  void Confirm(monotonic_time now) { last_confirmed_at_ = now; }

 private:
  struct wanted_object {
    std::uint64_t version = 0;
    std::deque<std::string>
        sources;  ///< Peers that have it, not requested_from yet.
    std::string requested_from;
    monotonic_time reply_deadline;  ///< On the answer of `requested_from`.
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

  void CompareSummary(const std::string& from, std::uint64_t versions,
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
  std::map<object_key, std::uint64_t>
      rejected_versions_;  // Versions of no use here.
  std::map<object_key, wanted_object> wanted_objects_;
  std::map<std::string, monotonic_time> digest_sent_at_;  // By peer.
  std::vector<std::string> members_;
  std::vector<std::string> gateways_;
  token_bucket reply_byte_budget_;
  std::optional<monotonic_time> next_summary_at_;
  std::optional<monotonic_time> last_confirmed_at_;
  std::vector<peer_action> actions_;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_COORDINATION_OBJECT_GOSSIP_H_
