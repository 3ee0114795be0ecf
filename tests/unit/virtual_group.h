#ifndef PAPAYAGLADE_TESTS_UNIT_VIRTUAL_GROUP_H_
#define PAPAYAGLADE_TESTS_UNIT_VIRTUAL_GROUP_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "coordination/membership.h"
#include "coordination/object_gossip.h"

namespace papayaglade {

/// Messages and bytes that one instance has sent so far.
struct traffic {
  std::uint64_t messages = 0;
  std::uint64_t bytes = 0;  ///< Encoded size with frame and TCP/IP headers.
};

/// Simulates membership and gossip of many instances in virtual time. Links
/// have a delay; tests cut links and freeze or kill instances.
class virtual_group {
 public:
  struct instance {
    instance_identity identity;
    std::string data_centre;
    endpoint address;
    std::unique_ptr<membership> members;
    std::unique_ptr<object_gossip> gossip;
    std::vector<send_to_peer> frozen_inbox;      ///< `peer` is the sender.
    std::map<std::string, std::uint64_t> known;  ///< Incarnations by peer.
    bool running = true;
    bool frozen = false;
    traffic sent;
    /// Time at which its last message has been sent.
    monotonic_time link_free_at;
    /// Time at which this instance accepted each version of the configuration.
    std::map<std::uint64_t, monotonic_time> accepted;
  };

  explicit virtual_group(std::uint64_t seed);

  /// Starts a new process of `name`; an older one is killed first.
  void Start(const std::string& name, const std::string& data_centre);
  /// Gives `name` a hint of the current process of `other`.
  void Hint(const std::string& name, const std::string& other);
  void Kill(const std::string& name);
  void Freeze(const std::string& name);
  void Thaw(const std::string& name);
  /// Drops all messages between instances for which `cut` returns true.
  void SetCut(std::function<bool(const std::string&, const std::string&)> cut);
  /// Sets the peers in other data centres to which `name` announces versions.
  void SetGateways(const std::string& name, std::vector<std::string> gateways);
  /// Encodes and decodes every message, counts its bytes and delays it by its
  /// transfer time on a link of 100 Mbit/s.
  void MeasureBytes() { measure_bytes_ = true; }

  void Offer(const std::string& name, const versioned_object& object);
  void Advance(std::chrono::milliseconds by);
  /// Advances until `done` returns true, at most for `bound`. Returns the
  /// elapsed time.
  std::chrono::milliseconds AdvanceUntil(const std::function<bool()>& done,
                                         std::chrono::milliseconds bound);

  monotonic_time Now() const { return now_; }
  instance& At(const std::string& name) { return instances_.at(name); }
  std::map<std::string, instance>& All() { return instances_; }
  /// Returns what `name` believes about the current or last process of `other`.
  member_state Belief(const std::string& name, const std::string& other);
  /// Returns whether every running instance believes that `name` is in `state`.
  bool AllBelieve(const std::string& name, member_state state);
  /// Returns whether every running instance has accepted `version` of the
  /// configuration.
  bool AllHold(std::uint64_t version);

 private:
  struct delivery {
    monotonic_time at;
    std::uint64_t sequence = 0;
    std::function<void()> run;
    bool operator>(const delivery& other) const {
      return at != other.at ? at > other.at : sequence > other.sequence;
    }
  };

  void Tick();
  void Flush(instance& from);
  void Perform(instance& from, const peer_action& action);
  bool ConnectTo(instance& from, const std::string& peer);
  void Transmit(instance& from, const send_to_peer& action);
  std::chrono::microseconds TransferTime(instance& from,
                                         const send_to_peer& action);
  void Deliver(const instance_identity& sender, const send_to_peer& action);
  void ReportLink(const std::string& to, const instance_identity& peer,
                  peer_link_event::link_state state);
  void ScheduleAfter(std::chrono::microseconds delay,
                     std::function<void()> run);
  void UpdateGossipMembers(instance& of);
  bool IsCut(const std::string& from, const std::string& to) const;

  std::mt19937_64 random_;
  monotonic_time now_{std::chrono::hours(1)};
  std::uint64_t last_incarnation_ = 0;
  std::uint64_t last_sequence_ = 0;
  bool measure_bytes_ = false;
  std::map<std::string, instance> instances_;
  std::function<bool(const std::string&, const std::string&)> cut_;
  std::priority_queue<delivery, std::vector<delivery>, std::greater<>> queue_;
};

/// Returns a configuration of `size` bytes.
versioned_object ConfigurationOf(std::uint64_t version, std::size_t size = 100);

}  // namespace papayaglade

#endif  // PAPAYAGLADE_TESTS_UNIT_VIRTUAL_GROUP_H_
