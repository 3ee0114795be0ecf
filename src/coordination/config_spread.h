#ifndef PAPAYAGLADE_COORDINATION_CONFIG_SPREAD_H_
#define PAPAYAGLADE_COORDINATION_CONFIG_SPREAD_H_

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
/// See docs/design/spread.md.
class config_spread {
 public:
  /// Puts an object into force; false when its value cannot be used.
  using acceptor = std::function<bool(const versioned_object&)>;

  config_spread(acceptor accept, std::uint64_t seed);

  /// Takes an object from the platform or made here, and tells peers. False
  /// unless its version is above the highest seen and `accept` took it.
  bool Offer(const versioned_object& object, monotonic_time now);

  /// Members of the own data centre; a few, at random, are told of a change.
  void SetMembers(std::vector<std::string> members);
  /// Peers in other data centres that are told of every change.
  void SetGateways(std::vector<std::string> gateways);

  void OnTick(monotonic_time now);
  void OnMessage(const std::string& from, const control_message& message,
                 monotonic_time now);

  std::vector<peer_action> TakeActions();
  const object_store& Store() const { return store_; }
  /// When a peer or the caller of ConfirmedAt last had the same versions.
  std::optional<monotonic_time> Confirmed() const { return confirmed_; }
  void ConfirmedAt(monotonic_time now) { confirmed_ = now; }

 private:
  struct wanted_object {
    std::uint64_t version = 0;
    std::deque<std::string> sources;  ///< Peers that have it, not asked yet.
    std::string asked;
    monotonic_time give_up;  ///< On the answer of `asked`.
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

  void Compare(const std::string& from, std::uint64_t versions_hash,
               monotonic_time now);
  void Want(const std::string& from, const version_entry& entry,
            monotonic_time now);
  void AskNext(const object_key& key, monotonic_time now);
  void AnswerDigest(const std::string& from, const version_digest& digest);
  void Announce(const versioned_object& object, const std::string& source);
  bool Accept(const versioned_object& object, const std::string& source,
              monotonic_time now);
  void Send(const std::string& peer, control_message message);

  acceptor accept_;
  std::mt19937_64 random_;
  object_store store_;
  std::map<object_key, std::uint64_t> refused_;  // Versions of no use here.
  std::map<object_key, wanted_object> wanted_;
  std::map<std::string, monotonic_time> compared_;  // By peer.
  std::vector<std::string> members_;
  std::vector<std::string> gateways_;
  token_bucket bytes_;
  std::optional<monotonic_time> next_summary_;
  std::optional<monotonic_time> confirmed_;
  std::vector<peer_action> actions_;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_COORDINATION_CONFIG_SPREAD_H_
