#include "coordination/stewardship.h"

#include <algorithm>
#include <utility>

#include "coordination/roster_lookup.h"

namespace papayaglade {

namespace {

using std::chrono::milliseconds;

// Proofs are renewed this many times a lease, so that one may be lost.
constexpr int kProofsPerLease = 3;
// Ticks may come this much early against each other.
constexpr milliseconds kTickSlack{20};
constexpr std::size_t kLeastReaders = 2;
constexpr std::size_t kMembersPerReader = 16;
constexpr milliseconds kShortestReadGap{200};
constexpr milliseconds kReadBackOff{1000};
constexpr milliseconds kLeaveBound{4000};
constexpr std::size_t kMostPendingHandovers = 256;

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
      keeper_(self, data_centre, timing, seed),
      proof_(timing),
      fence_(self.identity, timing) {
  newest_.data_centre = data_centre;
}

void stewardship::SetMembers(const std::vector<member>& members,
                             monotonic_time now) {
  keeper_.SetMembers(members);
  MarkGone(now);
}

void stewardship::MarkGone(monotonic_time now) {
  for (const roster_member& each : newest_.members) {
    if (keeper_.IsGone(each)) fence_.MarkGone(each.identity, now);
  }
  for (const roster_member& each : newest_.retired) {
    if (keeper_.IsGone(each)) fence_.MarkGone(each.identity, now);
  }
}

void stewardship::SetUpstreams(std::uint64_t version,
                               std::vector<assignable_upstream> upstreams) {
  keeper_.SetUpstreams(version, std::move(upstreams));
}

void stewardship::Leave(monotonic_time now) {
  if (leave_by_) return;
  leave_by_ = now + kLeaveBound;
  keeper_.Leave();
  Write(now);
}

void stewardship::OnTick(monotonic_time now) {
  Read(now);
  Write(now);
  AskPeers(now);
  CountConfirmations(now);
  for (send_control& each : handovers_.Due(now)) {
    actions_.emplace_back(std::move(each));
  }
  Announce(now);
  FinishLeave(now);
}

void stewardship::OnRoster(const roster& found, monotonic_time now) {
  if (found.epoch <= newest_.epoch) return;
  // The object's version came with no platform answer, so it is not known.
  stored_version_.reset();
  Adopt(found, now);
  Announce(now);
}

void stewardship::Adopt(const roster& found, monotonic_time now) {
  ReleaseLost(found, now);
  newest_ = found;
  own_.clear();
  if (IsMember()) {
    for (const steward_assignment& each : found.assignments) {
      if (each.steward != self_.identity.name) continue;
      own_[each.upstream] = each.since_epoch;
    }
  }
  fence_.Adopt(found, now);
  keeper_.Adopt(found, now);
  MarkGone(now);
  // Every rival is asked at once: one that freezes soon after a join could
  // else not be known to count on this instance.
  next_ask_ = now;
  ApplyHandovers();
}

// The stewards duty stops before peers are told that it has stopped.
void stewardship::ReleaseLost(const roster& found, monotonic_time now) {
  std::map<std::string, std::uint64_t> kept;
  const bool member = HasMember(found, self_.identity);
  for (const steward_assignment& each : found.assignments) {
    if (member && each.steward == self_.identity.name) {
      kept[each.upstream] = each.since_epoch;
    }
  }
  release_upstreams release{found.epoch, {}};
  std::set<std::string> vouched;
  for (const auto& [upstream, since] : own_) {
    const auto still = kept.find(upstream);
    if (still != kept.end() && still->second == since) continue;
    release.upstreams.push_back(upstream);
    const auto clear = fence_.ClearAt(upstream);
    // One that was itself fenced, or that missed a steward between, cannot
    // vouch that nobody else sends.
    const bool direct = SinceEpoch(found, upstream) == newest_.epoch + 1;
    if (direct && clear && *clear <= now) vouched.insert(upstream);
  }
  if (release.upstreams.empty()) return;
  releasing_[found.epoch] = std::move(vouched);
  actions_.emplace_back(std::move(release));
}

void stewardship::OnReleased(std::uint64_t epoch, std::vector<handover> states,
                             monotonic_time now) {
  const auto released = releasing_.find(epoch);
  if (released == releasing_.end()) return;
  const std::set<std::string> vouched = std::move(released->second);
  releasing_.erase(released);
  std::map<std::string, stewardship_handover> by_steward;
  for (handover& each : states) {
    if (vouched.count(each.upstream) == 0) continue;
    const std::string steward = StewardOf(newest_, each.upstream);
    if (steward.empty() || steward == self_.identity.name) continue;
    stewardship_handover& message = by_steward[steward];
    message.epoch = epoch;
    message.upstreams.push_back(std::move(each));
  }
  for (auto& [steward, message] : by_steward) {
    handovers_.Add(steward, std::move(message), now);
  }
  for (send_control& each : handovers_.Due(now)) {
    actions_.emplace_back(std::move(each));
  }
  FinishLeave(now);
}

void stewardship::OnRosterRead(const roster_answer& answer,
                               monotonic_time now) {
  reading_ = false;
  if (answer.status == platform_status::kNotFound) stored_version_ = 0;
  if (answer.status == platform_status::kOk) {
    OnStored(answer, now);
  } else if (answer.status != platform_status::kNotFound) {
    next_read_ = now + kReadBackOff;
  }
  Write(now);
  Announce(now);
}

void stewardship::OnRosterWritten(const roster_answer& answer,
                                  monotonic_time now) {
  const bool answered = answer.status == platform_status::kOk ||
                        answer.status == platform_status::kConflict;
  keeper_.WriteEnded(!answered, now);
  if (answered) {
    OnStored(answer, now);
  } else {
    // The write may be in force or still under way; only a read can tell.
    stored_version_.reset();
    read_wanted_ = true;
    Read(now);
  }
  Announce(now);
}

void stewardship::OnStored(const roster_answer& answer, monotonic_time now) {
  stored_version_ = answer.version;
  if (!answer.stored) return;
  if (answer.stored->epoch > newest_.epoch) Adopt(*answer.stored, now);
  // A platform that has gone back to an older roster proves nothing.
  if (answer.stored->epoch == newest_.epoch) {
    proof_.AddPlatformProof(answer.sent);
  }
}

void stewardship::OnMessage(const instance_identity& from,
                            const control_message& message,
                            monotonic_time now) {
  std::visit([&](const auto& each) { Handle(from, each, now); }, message);
  Announce(now);
}

void stewardship::Handle(const instance_identity& from,
                         const standing_request& message, monotonic_time now) {
  if (message.epoch > newest_.epoch) read_wanted_ = true;
  // The question shows what the other knows as well as its answer would.
  fence_.OnAnswer(from, message.epoch, 0, now);
  standing_reply answer{message.sequence, newest_.epoch, ReleasedEpoch()};
  answer.proof_age =
      proof_.PlatformProofAge(now).value_or(std::chrono::microseconds(-1));
  actions_.emplace_back(send_control{from.name, answer});
}

void stewardship::Handle(const instance_identity& from,
                         const standing_reply& message, monotonic_time now) {
  const auto question = questions_.find(message.sequence);
  if (question == questions_.end()) return;
  const monotonic_time sent = question->second;
  questions_.erase(question);
  fence_.OnAnswer(from, message.epoch, message.released_epoch, now);
  if (message.epoch > newest_.epoch) {
    read_wanted_ = true;
    return;
  }
  proof_.AddConfirmation(from, sent);
  CountConfirmations(now);
  if (message.proof_age >= std::chrono::microseconds::zero()) {
    proof_.AddPlatformProof(sent - message.proof_age);
  }
}

void stewardship::Handle(const instance_identity& from,
                         const stewardship_handover& message,
                         monotonic_time /*now*/) {
  actions_.emplace_back(
      send_control{from.name, stewardship_handover_ack{message.epoch}});
  if (pending_.size() >= kMostPendingHandovers) return;
  pending_.push_back({from.name, message});
  if (message.epoch > newest_.epoch) read_wanted_ = true;
  ApplyHandovers();
}

void stewardship::Handle(const instance_identity& from,
                         const stewardship_handover_ack& message,
                         monotonic_time now) {
  handovers_.OnAcknowledged(from.name, message.epoch);
  FinishLeave(now);
}

// A hand-over that outruns its roster epoch waits for it.
void stewardship::ApplyHandovers() {
  handover_event applied;
  std::vector<pending_handover> waiting;
  for (pending_handover& each : pending_) {
    if (each.message.epoch > newest_.epoch) {
      waiting.push_back(std::move(each));
      continue;
    }
    for (handover& state : each.message.upstreams) {
      if (!fence_.OnHandover(state.upstream, each.message.epoch)) continue;
      applied.upstreams.push_back(std::move(state));
    }
  }
  pending_ = std::move(waiting);
  if (!applied.upstreams.empty()) actions_.emplace_back(std::move(applied));
}

void stewardship::Read(monotonic_time now) {
  const std::vector<std::string> readers = Readers();
  const bool reader = std::find(readers.begin(), readers.end(),
                                self_.identity.name) != readers.end();
  // A member that is no reader hears from one; everybody else has to look.
  const bool wanted = read_wanted_ || reader || !IsMember();
  if (reading_ || !wanted || left_ || now < next_read_) return;
  reading_ = true;
  read_wanted_ = false;
  next_read_ = now + std::max(kShortestReadGap,
                              timing_.lease / kProofsPerLease - kTickSlack);
  actions_.emplace_back(read_roster{});
}

void stewardship::Write(monotonic_time now) {
  // Nothing is known of the object yet, so it has to be read first.
  if (!stored_version_ && newest_.epoch == 0) return;
  std::optional<roster> next = keeper_.NextWrite(now);
  if (!next) return;
  // The object counts its writes as epochs do; a conflict tells where not.
  const std::uint64_t expected = stored_version_.value_or(newest_.epoch);
  actions_.emplace_back(write_roster{*std::move(next), expected});
}

void stewardship::AskPeers(monotonic_time now) {
  while (!questions_.empty() &&
         questions_.begin()->second + timing_.lease < now) {
    questions_.erase(questions_.begin());
  }
  if (!IsMember()) return;
  std::set<std::string> asked;
  for (const std::string& each : PeersToAsk(now)) asked.insert(each);
  for (const std::string& each : ConfirmersToAsk(now)) asked.insert(each);
  for (const std::string& each : asked) Ask(each, now);
}

// A reader for the platform's proof, and rivals for the end of a fence.
std::vector<std::string> stewardship::PeersToAsk(monotonic_time now) {
  std::vector<std::string> peers;
  if (now < next_ask_) return peers;
  next_ask_ = now + timing_.lease / kProofsPerLease - kTickSlack;
  const std::vector<std::string> readers = Readers();
  const bool reader = std::find(readers.begin(), readers.end(),
                                self_.identity.name) != readers.end();
  if (!reader) peers.push_back(readers[++reader_turn_ % readers.size()]);
  for (const instance_identity& each : fence_.Unanswered(now)) {
    peers.push_back(each.name);
  }
  return peers;
}

// With the platform's proof late, all other members have to stand in for it.
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

void stewardship::Ask(const std::string& peer, monotonic_time now) {
  questions_[++last_sequence_] = now;
  actions_.emplace_back(
      send_control{peer, standing_request{last_sequence_, newest_.epoch}});
}

void stewardship::CountConfirmations(monotonic_time now) {
  proof_.CountConfirmations(fence_.Confirmers(now));
}

void stewardship::Announce(monotonic_time now) {
  standing_update update;
  update.roster_epoch = newest_.epoch;
  update.proven_until = proof_.ProvenUntil();
  for (const auto& [upstream, since] : own_) {
    update.upstreams.push_back(upstream);
    const auto clear = fence_.ClearAt(upstream);
    if (!clear || *clear <= now) continue;
    update.fenced.push_back(upstream);
    update.fenced_until = std::max(update.fenced_until, *clear);
  }
  if (SameStanding(update, announced_)) return;
  announced_ = update;
  actions_.emplace_back(std::move(update));
}

void stewardship::FinishLeave(monotonic_time now) {
  if (!leave_by_ || left_) return;
  const bool handed_over =
      !IsMember() && releasing_.empty() && handovers_.Idle();
  if (!handed_over && now < *leave_by_) return;
  left_ = true;
  actions_.emplace_back(leave_finished{});
}

// The first members by name read for the others, a bounded number for each, so
// that the platform's load grows far more slowly than the fleet.
std::vector<std::string> stewardship::Readers() const {
  const std::size_t count = newest_.members.size();
  const std::size_t readers = std::max(
      kLeastReaders, (count + kMembersPerReader - 1) / kMembersPerReader);
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
  return releasing_.empty() ? newest_.epoch : releasing_.begin()->first - 1;
}

std::vector<stewardship_action> stewardship::TakeActions() {
  return std::exchange(actions_, {});
}

}  // namespace papayaglade
