#ifndef PAPAYAGLADE_COORDINATION_STEWARDSHIP_H_
#define PAPAYAGLADE_COORDINATION_STEWARDSHIP_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "coordination/handover_sender.h"
#include "coordination/roster_reconciler.h"
#include "coordination/standing_proof.h"
#include "coordination/takeover_fence.h"
#include "state/events.h"

namespace papayaglade {

/// Asks the caller to read the roster of this data centre from the platform.
struct read_roster {};

/// Asks the caller to write `next` if the stored roster object still has
/// `expected_version`.
struct write_roster {
  roster next;
  std::uint64_t expected_version = 0;
};

/// Asks the stewards worker to stop sending to `upstreams` and to report their
/// states to OnReleased with the same epoch.
struct release_upstreams {
  std::uint64_t epoch = 0;
  std::vector<std::string> upstreams;
};

/// Reports that leaving has finished, so this instance may exit.
struct leave_finished {};

using stewardship_action =
    std::variant<send_control, read_roster, write_roster, standing_update,
                 release_upstreams, handover_event, leave_finished>;

/// Result of a platform call that read or wrote the roster object.
struct roster_answer {
  platform_status status = platform_status::kLost;
  std::uint64_t version = 0;  ///< Object version; valid with kOk and kConflict.
  std::optional<roster> stored;  ///< Set after a read and with kConflict.
  monotonic_time sent;  ///< No later than when the call left this process.
};

/// Tracks which upstreams this instance is steward of and until when it may
/// send to them, and maintains the roster together with its peers. The caller
/// performs the actions that TakeActions returns. See
/// docs/design/stewardship.md.
class stewardship {
 public:
  stewardship(const roster_member& self, const std::string& data_centre,
              stewardship_timing timing, std::uint64_t seed);

  void SetMembers(const std::vector<member>& members, monotonic_time now);
  /// Sets the upstreams that configuration `version` defines for this data
  /// centre.
  void SetUpstreams(std::uint64_t version,
                    std::vector<assignable_upstream> upstreams);
  /// Starts handing over all upstreams. A leave_finished action follows when
  /// they are handed over, or after a timeout.
  void Leave(monotonic_time now);

  void OnTick(monotonic_time now);
  /// Applies a roster from any source; ignores one that is not newer than the
  /// newest known roster.
  void OnRoster(const roster& newer, monotonic_time now);
  void OnRosterRead(const roster_answer& answer, monotonic_time now);
  void OnRosterWritten(const roster_answer& answer, monotonic_time now);
  void OnMessage(const instance_identity& from, const control_message& message,
                 monotonic_time now);
  /// Called when the stewards worker has stopped sending to the upstreams that
  /// release_upstreams named; `states` describes them.
  void OnReleased(std::uint64_t epoch, std::vector<handover> states,
                  monotonic_time now);

  /// Returns the actions to perform, in order, and clears the list.
  std::vector<stewardship_action> TakeActions();

  const roster& NewestRoster() const { return newest_; }
  const standing_update& Standing() const { return published_standing_; }

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

  void MarkTerminated(monotonic_time now);
  void ApplyRoster(const roster& newer, monotonic_time now);
  void ReleaseLostUpstreams(const roster& newer, monotonic_time now);
  void ApplyHandovers();
  void OnStoredRoster(const roster_answer& answer, monotonic_time now);
  void ReadRosterIfDue(monotonic_time now);
  void WriteRosterIfDue(monotonic_time now);
  void SendQuestions(monotonic_time now);
  std::vector<std::string> PeersToAsk(monotonic_time now);
  std::vector<std::string> ConfirmersToAsk(monotonic_time now) const;
  void SendQuestion(const std::string& peer, monotonic_time now);
  void PublishStanding(monotonic_time now);
  void FinishLeaveIfDone(monotonic_time now);
  void UpdatePeerProof(monotonic_time now);
  std::vector<std::string> RosterReaders() const;
  bool IsMember() const;
  std::uint64_t ReleasedEpoch() const;

  roster_member self_;
  stewardship_timing timing_;
  roster_reconciler reconciler_;
  standing_proof proof_;
  takeover_fence fence_;
  handover_sender handovers_;

  roster newest_;
  std::optional<std::uint64_t> stored_version_;
  /// Epoch since which an upstream is owned, keyed by upstream name.
  std::map<std::string, std::uint64_t> owned_since_epoch_;
  /// Keyed by roster epoch: released upstreams that no other instance can have
  /// been using.
  std::map<std::uint64_t, std::set<std::string>> releasing_by_epoch_;
  std::vector<pending_handover> pending_handovers_;

  bool read_in_flight_ = false;
  bool read_requested_ = true;
  monotonic_time next_read_at_{};
  monotonic_time write_sent_{};
  monotonic_time next_questions_at_{};
  std::uint64_t last_sequence_ = 0;
  std::size_t reader_rotation_ = 0;
  /// Time at which a question was sent, keyed by sequence number.
  std::map<std::uint64_t, monotonic_time> questions_sent_at_;
  std::optional<monotonic_time> leave_deadline_;
  bool leave_is_finished_ = false;
  standing_update published_standing_;
  std::vector<stewardship_action> actions_;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_COORDINATION_STEWARDSHIP_H_
