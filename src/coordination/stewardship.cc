#include "coordination/stewardship.h"

#include <algorithm>
#include <utility>

#include "coordination/roster_lookup.h"

namespace papayaglade {

namespace {

using std::chrono::milliseconds;

// Proofs are renewed three times per lease, so that one may be lost.
constexpr int kProofsPerLease = 3;
// Two ticks may be closer together than the tick period by this much.
constexpr milliseconds kTickSlack{20};
constexpr std::size_t kMinReaders = 2;
constexpr std::size_t kMembersPerReader = 16;
constexpr milliseconds kMinReadInterval{200};
constexpr milliseconds kReadRetryDelay{1000};
constexpr milliseconds kLeaveTimeout{4000};
constexpr std::size_t kMaxPendingHandovers = 256;

bool SameStanding(const standing_update& a, const standing_update& b) {
  return a.roster_epoch == b.roster_epoch && a.proven_until == b.proven_until &&
         a.upstreams == b.upstreams && a.fenced == b.fenced &&
         a.fenced_until == b.fenced_until;
}

}  // namespace

stewardship::stewardship(const roster_member& self,
                         const std::string& data_centre,
                         stewardship_timing timing, std::uint64_t seed)
    : self_(self),
      timing_(timing),
      reconciler_(self, data_centre, timing, seed),
      proof_(timing),
      fence_(self.identity, timing) {
  newest_.data_centre = data_centre;
}

void stewardship::SetMembers(const std::vector<member>& members,
                             monotonic_time now) {
  reconciler_.SetMembers(members);
  MarkTerminated(now);
}

void stewardship::MarkTerminated(monotonic_time now) {
  for (const roster_member& each : newest_.members) {
    if (reconciler_.IsTerminated(each))
      fence_.MarkTerminated(each.identity, now);
  }
  for (const roster_member& each : newest_.retired) {
    if (reconciler_.IsTerminated(each))
      fence_.MarkTerminated(each.identity, now);
  }
}

void stewardship::SetUpstreams(std::uint64_t version,
                               std::vector<assignable_upstream> upstreams) {
  reconciler_.SetUpstreams(version, std::move(upstreams));
}

void stewardship::Leave(monotonic_time now) {
  if (leave_deadline_) return;
  leave_deadline_ = now + kLeaveTimeout;
  reconciler_.Leave();
  WriteRosterIfDue(now);
}

void stewardship::OnTick(monotonic_time now) {
  ReadRosterIfDue(now);
  WriteRosterIfDue(now);
  SendQuestions(now);
  UpdatePeerProof(now);
  for (send_control& each : handovers_.TakeDue(now)) {
    actions_.emplace_back(std::move(each));
  }
  PublishStanding(now);
  FinishLeaveIfDone(now);
}

void stewardship::OnRoster(const roster& newer, monotonic_time now) {
  if (newer.epoch <= newest_.epoch) return;
  // The roster did not come with a platform answer, so the version of the
  // stored object is unknown.
  stored_version_.reset();
  ApplyRoster(newer, now);
  PublishStanding(now);
}

void stewardship::ApplyRoster(const roster& newer, monotonic_time now) {
  ReleaseLostUpstreams(newer, now);
  newest_ = newer;
  owned_since_epoch_.clear();
  if (IsMember()) {
    for (const steward_assignment& each : newer.assignments) {
      if (each.steward != self_.identity.name) continue;
      owned_since_epoch_[each.upstream] = each.since_epoch;
    }
  }
  fence_.ApplyRoster(newer, now);
  reconciler_.ApplyRoster(newer, now);
  MarkTerminated(now);
  // Questions go to every rival immediately. Otherwise, a rival that freezes
  // soon after a join could not be known to need confirmations from this
  // instance.
  next_questions_at_ = now;
  ApplyHandovers();
}

// The stewards worker stops sending before peers learn that it has stopped.
void stewardship::ReleaseLostUpstreams(const roster& newer,
                                       monotonic_time now) {
  std::map<std::string, std::uint64_t> kept;
  const bool member = HasMember(newer, self_.identity);
  for (const steward_assignment& each : newer.assignments) {
    if (member && each.steward == self_.identity.name) {
      kept[each.upstream] = each.since_epoch;
    }
  }
  release_upstreams release{newer.epoch, {}};
  std::set<std::string> exclusive;
  for (const auto& [upstream, since] : owned_since_epoch_) {
    const auto still = kept.find(upstream);
    if (still != kept.end() && still->second == since) continue;
    release.upstreams.push_back(upstream);
    const auto fence_end = fence_.FencedUntil(upstream);
    // If this instance was still fenced itself, or if the upstream had another
    // steward in between, another instance may still be sending.
    const bool direct = SinceEpoch(newer, upstream) == newest_.epoch + 1;
    if (direct && fence_end && *fence_end <= now) exclusive.insert(upstream);
  }
  if (release.upstreams.empty()) return;
  releasing_by_epoch_[newer.epoch] = std::move(exclusive);
  actions_.emplace_back(std::move(release));
}

void stewardship::OnReleased(std::uint64_t epoch, std::vector<handover> states,
                             monotonic_time now) {
  const auto released = releasing_by_epoch_.find(epoch);
  if (released == releasing_by_epoch_.end()) return;
  const std::set<std::string> exclusive = std::move(released->second);
  releasing_by_epoch_.erase(released);
  std::map<std::string, stewardship_handover> by_steward;
  for (handover& each : states) {
    if (exclusive.count(each.upstream) == 0) continue;
    const std::string steward = StewardOf(newest_, each.upstream);
    if (steward.empty() || steward == self_.identity.name) continue;
    stewardship_handover& message = by_steward[steward];
    message.epoch = epoch;
    message.upstreams.push_back(std::move(each));
  }
  for (auto& [steward, message] : by_steward) {
    handovers_.Add(steward, std::move(message), now);
  }
  for (send_control& each : handovers_.TakeDue(now)) {
    actions_.emplace_back(std::move(each));
  }
  FinishLeaveIfDone(now);
}

void stewardship::OnRosterRead(const roster_answer& answer,
                               monotonic_time now) {
  read_in_flight_ = false;
  if (answer.status == platform_status::kNotFound) stored_version_ = 0;
  if (answer.status == platform_status::kOk) {
    OnStoredRoster(answer, now);
  } else if (answer.status != platform_status::kNotFound) {
    next_read_at_ = now + kReadRetryDelay;
  }
  WriteRosterIfDue(now);
  PublishStanding(now);
}

void stewardship::OnRosterWritten(const roster_answer& answer,
                                  monotonic_time now) {
  const bool answered = answer.status == platform_status::kOk ||
                        answer.status == platform_status::kConflict;
  reconciler_.OnWriteCompleted(!answered, now);
  if (answered) {
    OnStoredRoster(answer, now);
  } else {
    // The write may have been applied or may still be in flight; only a read
    // can tell.
    stored_version_.reset();
    read_requested_ = true;
    ReadRosterIfDue(now);
  }
  PublishStanding(now);
}

void stewardship::OnStoredRoster(const roster_answer& answer,
                                 monotonic_time now) {
  stored_version_ = answer.version;
  if (!answer.stored) return;
  if (answer.stored->epoch > newest_.epoch) ApplyRoster(*answer.stored, now);
  // A platform that has reverted to an older roster proves nothing.
  if (answer.stored->epoch == newest_.epoch) {
    proof_.AddPlatformProof(answer.sent);
  }
}

void stewardship::OnMessage(const instance_identity& from,
                            const control_message& message,
                            monotonic_time now) {
  std::visit([&](const auto& each) { Handle(from, each, now); }, message);
  PublishStanding(now);
}

void stewardship::Handle(const instance_identity& from,
                         const standing_request& message, monotonic_time now) {
  if (message.epoch > newest_.epoch) read_requested_ = true;
  // The question carries the peer's epoch, as its answer would.
  fence_.OnAnswer(from, message.epoch, 0, now);
  standing_reply answer{message.sequence, newest_.epoch, ReleasedEpoch()};
  answer.proof_age =
      proof_.PlatformProofAge(now).value_or(std::chrono::microseconds(-1));
  actions_.emplace_back(send_control{from.name, answer});
}

void stewardship::Handle(const instance_identity& from,
                         const standing_reply& message, monotonic_time now) {
  const auto question = questions_sent_at_.find(message.sequence);
  if (question == questions_sent_at_.end()) return;
  const monotonic_time sent = question->second;
  questions_sent_at_.erase(question);
  fence_.OnAnswer(from, message.epoch, message.released_epoch, now);
  if (message.epoch > newest_.epoch) {
    read_requested_ = true;
    return;
  }
  proof_.AddConfirmation(from, sent);
  UpdatePeerProof(now);
  if (message.proof_age >= std::chrono::microseconds::zero()) {
    proof_.AddPlatformProof(sent - message.proof_age);
  }
}

void stewardship::Handle(const instance_identity& from,
                         const stewardship_handover& message,
                         monotonic_time /*now*/) {
  actions_.emplace_back(
      send_control{from.name, stewardship_handover_ack{message.epoch}});
  if (pending_handovers_.size() >= kMaxPendingHandovers) return;
  pending_handovers_.push_back({from.name, message});
  if (message.epoch > newest_.epoch) read_requested_ = true;
  ApplyHandovers();
}

void stewardship::Handle(const instance_identity& from,
                         const stewardship_handover_ack& message,
                         monotonic_time now) {
  handovers_.OnAcknowledged(from.name, message.epoch);
  FinishLeaveIfDone(now);
}

// A handover that arrives before the roster of its epoch waits for that roster.
void stewardship::ApplyHandovers() {
  handover_event applied;
  std::vector<pending_handover> waiting;
  for (pending_handover& each : pending_handovers_) {
    if (each.message.epoch > newest_.epoch) {
      waiting.push_back(std::move(each));
      continue;
    }
    for (handover& state : each.message.upstreams) {
      if (!fence_.OnHandover(state.upstream, each.message.epoch)) continue;
      applied.upstreams.push_back(std::move(state));
    }
  }
  pending_handovers_ = std::move(waiting);
  if (!applied.upstreams.empty()) actions_.emplace_back(std::move(applied));
}

void stewardship::ReadRosterIfDue(monotonic_time now) {
  const std::vector<std::string> readers = RosterReaders();
  const bool is_reader = std::find(readers.begin(), readers.end(),
                                   self_.identity.name) != readers.end();
  // Members that are not readers get proofs from a reader. Readers and
  // non-members have to read from the platform themselves.
  const bool wanted = read_requested_ || is_reader || !IsMember();
  if (read_in_flight_ || !wanted || leave_is_finished_ || now < next_read_at_)
    return;
  read_in_flight_ = true;
  read_requested_ = false;
  next_read_at_ = now + std::max(kMinReadInterval,
                                 timing_.lease / kProofsPerLease - kTickSlack);
  actions_.emplace_back(read_roster{});
}

void stewardship::WriteRosterIfDue(monotonic_time now) {
  // The stored object is still unknown, so it has to be read first.
  if (!stored_version_ && newest_.epoch == 0) return;
  std::optional<roster> next = reconciler_.NextWrite(now);
  if (!next) return;
  // The object version normally equals the epoch, as each write increments
  // both. If it does not, the conflict returns the actual version.
  const std::uint64_t expected = stored_version_.value_or(newest_.epoch);
  actions_.emplace_back(write_roster{*std::move(next), expected});
}

void stewardship::SendQuestions(monotonic_time now) {
  while (!questions_sent_at_.empty() &&
         questions_sent_at_.begin()->second + timing_.lease < now) {
    questions_sent_at_.erase(questions_sent_at_.begin());
  }
  if (!IsMember()) return;
  std::set<std::string> asked;
  for (const std::string& each : PeersToAsk(now)) asked.insert(each);
  for (const std::string& each : ConfirmersToAsk(now)) asked.insert(each);
  for (const std::string& each : asked) SendQuestion(each, now);
}

// Selects a reader, which passes on the platform's proof, and the rivals whose
// answers can end a fence.
std::vector<std::string> stewardship::PeersToAsk(monotonic_time now) {
  std::vector<std::string> peers;
  if (now < next_questions_at_) return peers;
  next_questions_at_ = now + timing_.lease / kProofsPerLease - kTickSlack;
  const std::vector<std::string> readers = RosterReaders();
  const bool is_reader = std::find(readers.begin(), readers.end(),
                                   self_.identity.name) != readers.end();
  if (!is_reader) peers.push_back(readers[++reader_rotation_ % readers.size()]);
  for (const instance_identity& each : fence_.RivalsToAsk(now)) {
    peers.push_back(each.name);
  }
  return peers;
}

// When the last platform proof is old, confirmations from all other members
// have to replace it.
std::vector<std::string> stewardship::ConfirmersToAsk(
    monotonic_time now) const {
  std::vector<std::string> peers;
  const auto age = proof_.PlatformProofAge(now);
  if (!age || *age < timing_.lease * 3 / 4) return peers;
  for (const instance_identity& each : fence_.Confirmers(now)) {
    const auto confirmed = proof_.ConfirmedAt(each);
    if (confirmed && *confirmed + timing_.lease / 2 > now) continue;
    peers.push_back(each.name);
  }
  return peers;
}

void stewardship::SendQuestion(const std::string& peer, monotonic_time now) {
  questions_sent_at_[++last_sequence_] = now;
  actions_.emplace_back(
      send_control{peer, standing_request{last_sequence_, newest_.epoch}});
}

void stewardship::UpdatePeerProof(monotonic_time now) {
  proof_.UpdatePeerProof(fence_.Confirmers(now));
}

void stewardship::PublishStanding(monotonic_time now) {
  standing_update update;
  update.roster_epoch = newest_.epoch;
  update.proven_until = proof_.ProvenUntil();
  for (const auto& [upstream, since] : owned_since_epoch_) {
    update.upstreams.push_back(upstream);
    const auto fence_end = fence_.FencedUntil(upstream);
    if (!fence_end || *fence_end <= now) continue;
    update.fenced.push_back(upstream);
    update.fenced_until = std::max(update.fenced_until, *fence_end);
  }
  if (SameStanding(update, published_standing_)) return;
  published_standing_ = update;
  actions_.emplace_back(std::move(update));
}

void stewardship::FinishLeaveIfDone(monotonic_time now) {
  if (!leave_deadline_ || leave_is_finished_) return;
  const bool handed_over =
      !IsMember() && releasing_by_epoch_.empty() && handovers_.IsIdle();
  if (!handed_over && now < *leave_deadline_) return;
  leave_is_finished_ = true;
  actions_.emplace_back(leave_finished{});
}

// The first members by name read the roster for the others. Each reader serves
// up to kMembersPerReader members, so that the platform's load grows far more
// slowly than the fleet.
std::vector<std::string> stewardship::RosterReaders() const {
  const std::size_t count = newest_.members.size();
  const std::size_t readers = std::max(
      kMinReaders, (count + kMembersPerReader - 1) / kMembersPerReader);
  std::vector<std::string> names;
  for (const roster_member& each : newest_.members) {
    if (names.size() == readers) break;
    names.push_back(each.identity.name);
  }
  return names;
}

bool stewardship::IsMember() const {
  return HasMember(newest_, self_.identity);
}

std::uint64_t stewardship::ReleasedEpoch() const {
  return releasing_by_epoch_.empty() ? newest_.epoch
                                     : releasing_by_epoch_.begin()->first - 1;
}

std::vector<stewardship_action> stewardship::TakeActions() {
  return std::exchange(actions_, {});
}

}  // namespace papayaglade
