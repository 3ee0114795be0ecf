#ifndef PAPAYAGLADE_COORDINATION_STEWARDSHIP_H_
#define PAPAYAGLADE_COORDINATION_STEWARDSHIP_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "coordination/handover_exchange.h"
#include "coordination/roster_keeper.h"
#include "coordination/standing_proof.h"
#include "coordination/takeover_fence.h"
#include "state/events.h"

namespace papayaglade {

/// Read the roster of the own data centre from the platform.
struct read_roster {};

/// Write the roster if its object still has `expected_version`.
struct write_roster {
  roster next;
  std::uint64_t expected_version = 0;
};

/// Make the stewards duty end its stewardship of `upstreams` and report their
/// states to OnReleased with this epoch.
struct release_upstreams {
  std::uint64_t epoch = 0;
  std::vector<std::string> upstreams;
};

/// Everything is handed over; this instance may end.
struct leave_finished {};

using stewardship_action =
    std::variant<send_control, read_roster, write_roster, standing_update,
                 release_upstreams, handover_event, leave_finished>;

/// The platform's answer about the roster object.
struct roster_answer {
  platform_status status = platform_status::kLost;
  std::uint64_t version = 0;     ///< Of the object, with kOk and kConflict.
  std::optional<roster> stored;  ///< With a read, and with kConflict.
  monotonic_time sent;           ///< Not after the call left this process.
};

/// What this instance is steward of, and until when it may act on it. It keeps
/// the roster together with its peers. See docs/design/stewardship.md.
class stewardship {
 public:
  stewardship(const roster_member& self, const std::string& data_centre,
              stewardship_timing timing, std::uint64_t seed);

  void SetMembers(const std::vector<member>& members, monotonic_time now);
  /// The upstreams of the own data centre by configuration `version`.
  void SetUpstreams(std::uint64_t version,
                    std::vector<assignable_upstream> upstreams);
  /// Hands everything over and then gives leave_finished, within a bound.
  void Leave(monotonic_time now);

  void OnTick(monotonic_time now);
  /// A roster from any source; an older one is ignored.
  void OnRoster(const roster& found, monotonic_time now);
  void OnRosterRead(const roster_answer& answer, monotonic_time now);
  void OnRosterWritten(const roster_answer& answer, monotonic_time now);
  void OnMessage(const instance_identity& from, const control_message& message,
                 monotonic_time now);
  /// The stewards duty has ended what release_upstreams named.
  void OnReleased(std::uint64_t epoch, std::vector<handover> states,
                  monotonic_time now);

  /// What to do now, in this order.
  std::vector<stewardship_action> TakeActions();

  const roster& Newest() const { return newest_; }
  const standing_update& Standing() const { return announced_; }

 private:
  struct pending_handover {
    std::string from;
    stewardship_handover message;
  };

  void Handle(const instance_identity& from, const standing_request& message,
              monotonic_time now);
  void Handle(const instance_identity& from, const standing_reply& message,
              monotonic_time now);
  void Handle(const instance_identity& from,
              const stewardship_handover& message, monotonic_time now);
  void Handle(const instance_identity& from,
              const stewardship_handover_ack& message, monotonic_time now);
  template <typename Other>
  void Handle(const instance_identity& /*from*/, const Other& /*message*/,
              monotonic_time /*now*/) {}

  void MarkGone(monotonic_time now);
  void Adopt(const roster& found, monotonic_time now);
  void ReleaseLost(const roster& found, monotonic_time now);
  void ApplyHandovers();
  void OnStored(const roster_answer& answer, monotonic_time now);
  void Read(monotonic_time now);
  void Write(monotonic_time now);
  void AskPeers(monotonic_time now);
  std::vector<std::string> PeersToAsk(monotonic_time now);
  std::vector<std::string> ConfirmersToAsk(monotonic_time now) const;
  void Ask(const std::string& peer, monotonic_time now);
  void Announce(monotonic_time now);
  void FinishLeave(monotonic_time now);
  void CountConfirmations(monotonic_time now);
  std::vector<std::string> Readers() const;
  bool IsMember() const;
  std::uint64_t ReleasedEpoch() const;

  roster_member self_;
  stewardship_timing timing_;
  roster_keeper keeper_;
  standing_proof proof_;
  takeover_fence fence_;
  handover_exchange handovers_;

  roster newest_;
  std::optional<std::uint64_t> stored_version_;
  std::map<std::string, std::uint64_t> own_;  ///< Since which epoch.
  std::map<std::uint64_t, std::set<std::string>> releasing_;  ///< By epoch.
  std::vector<pending_handover> pending_;

  bool reading_ = false;
  bool read_wanted_ = true;
  monotonic_time next_read_{};
  monotonic_time write_sent_{};
  monotonic_time next_ask_{};
  std::uint64_t last_sequence_ = 0;
  std::size_t reader_turn_ = 0;
  std::map<std::uint64_t, monotonic_time> questions_;  ///< When sent.
  std::optional<monotonic_time> leave_by_;
  bool left_ = false;
  standing_update announced_;
  std::vector<stewardship_action> actions_;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_COORDINATION_STEWARDSHIP_H_
