#ifndef PAPAYAGLADE_COORDINATION_MEMBERSHIP_H_
#define PAPAYAGLADE_COORDINATION_MEMBERSHIP_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "coordination/backoff.h"
#include "coordination/member_table.h"
#include "coordination/peer_action.h"
#include "coordination/probe_order.h"
#include "coordination/update_queue.h"
#include "state/events.h"

namespace papayaglade {

struct membership_settings {
  std::chrono::milliseconds probe_period{500};
  std::chrono::milliseconds probe_timeout{150};
  std::chrono::milliseconds suspicion_timeout{1500};
};

/// Detects which instances of one data centre are running, by probes whose cost
/// per instance does not depend on the number of instances. See
/// docs/design/membership.md.
class membership {
 public:
  membership(member_update self, std::string data_centre,
             membership_settings settings, std::uint64_t seed);

  void OnTick(monotonic_time now);
  void OnMessage(const instance_identity& from, const control_message& message,
                 monotonic_time now);
  void OnPeerLink(const peer_link_event& event, monotonic_time now);
  /// Handles a member of this data centre that a possibly outdated list names.
  void OnHint(const instance_identity& identity, const endpoint& peers,
              monotonic_time now);
  /// Notifies other members that this instance is about to exit.
  void Leave(monotonic_time now);

  /// Sets the summary that probes and their replies carry; see version_summary.
  void SetVersionSummary(std::uint64_t versions) {
    version_summary_ = versions;
  }

  std::vector<peer_action> TakeActions();
  /// Returns whether the result of Members has changed since the last call.
  bool TakeChanged();
  std::vector<member> Members() const { return table_.List(); }
  /// Returns whether a newer process with the name of this instance runs, so
  /// that this one has to exit.
  bool IsSuperseded() const { return superseded_; }

 private:
  struct probe_requester {
    std::string requester;
    std::uint64_t sequence = 0;
  };
  struct pending_probe {
    instance_identity target;
    monotonic_time sent;
    bool indirect = false;  ///< Peers were asked to probe the target too.
    /// The peer that requested the probe; empty if none did.
    std::optional<probe_requester> requested_by;
  };

  void Receive(const instance_identity& from, const probe& message,
               monotonic_time now);
  void Receive(const instance_identity& from, const probe_reply& message,
               monotonic_time now);
  void Receive(const instance_identity& from, const probe_request& message,
               monotonic_time now);
  void Receive(const instance_identity& from, const member_list& message,
               monotonic_time now);

  void ResetTimeouts(monotonic_time now);
  void CheckProbes(monotonic_time now);
  void CheckSuspects(monotonic_time now);
  void CheckHints(monotonic_time now);
  void ExpireHint(const member& known, monotonic_time now);
  void EvictDead(monotonic_time now);
  void ProbeNext(monotonic_time now);
  void DisseminateUpdates(monotonic_time now);
  void SyncMemberList(monotonic_time now);

  void SendProbe(const member& target,
                 std::optional<probe_requester> requested_by,
                 monotonic_time now);
  void RequestIndirectProbes(std::uint64_t sequence,
                             const instance_identity& target);
  void SendList(const std::string& peer, bool reply_wanted);
  void RequestListIfUnknown(const instance_identity& from, monotonic_time now);
  void ApplyUpdates(const std::vector<member_update>& updates,
                    monotonic_time now);
  void ApplyUpdate(const member_update& update, bool disseminate,
                   monotonic_time now);
  void QueueUpdate(const member_update& update);
  void ApplyUpdateAboutSelf(const member_update& update);
  void SetMemberState(const member& known, member_state state,
                      monotonic_time now);
  bool HasPendingProbe(const instance_identity& target) const;
  std::vector<member_update> UpdatesFor(const std::string& peer);
  std::vector<std::string> PickRandomAlive(std::size_t count,
                                           const std::string& excluded);
  void AddAction(peer_action action) { actions_.push_back(std::move(action)); }

  member_update self_;
  std::string data_centre_;
  membership_settings settings_;
  std::mt19937_64 random_;
  backoff sync_backoff_;  // Starts short, so that a new instance syncs soon.
  member_table table_;
  update_queue outgoing_updates_;
  std::map<std::uint64_t, pending_probe> pending_probes_;
  probe_order probe_order_;
  // Time of the last list request, keyed by peer name.
  std::map<std::string, monotonic_time> list_requested_at_;
  std::vector<peer_action> actions_;
  std::optional<monotonic_time> last_tick_;
  monotonic_time next_probe_at_;
  monotonic_time next_sync_at_;
  std::uint64_t last_sequence_ = 0;
  std::uint64_t version_summary_ = 0;
  // Updates were queued since they were last disseminated.
  bool has_new_updates_ = false;
  bool changed_ = false;
  bool superseded_ = false;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_COORDINATION_MEMBERSHIP_H_
