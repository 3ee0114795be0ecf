#include "coordination/membership.h"

#include <algorithm>
#include <utility>

namespace papayaglade {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Limits the size of a probe: an update takes about 40 B.
constexpr std::size_t kUpdatesPerMessage = 8;
constexpr std::size_t kIndirectProbes = 3;
constexpr std::size_t kDisseminationProbes = 2;
// Peers that this instance notifies directly when it leaves; gossip reaches the
// other members.
constexpr std::size_t kLeaveNotifications = 8;
constexpr std::size_t kMaxHintContactsPerTick = 3;
constexpr milliseconds kListRequestInterval{2000};
// The exchange of full member lists corrects what gossip has missed.
constexpr milliseconds kInitialSyncInterval{1000};
constexpr milliseconds kMaxSyncInterval{30000};
constexpr seconds kDeadProvenRetention{60};
constexpr std::chrono::minutes kDeadUnprovenRetention{30};
constexpr std::size_t kMaxPendingProbes = 1024;

bool IsDead(member_state state) {
  return state == member_state::kDeadUnproven ||
         state == member_state::kDeadProven;
}

}  // namespace

membership::membership(member_update self, std::string data_centre,
                       membership_settings settings, std::uint64_t seed)
    : self_(std::move(self)),
      data_centre_(std::move(data_centre)),
      settings_(settings),
      random_(seed),
      sync_backoff_(kInitialSyncInterval, kMaxSyncInterval) {
  outgoing_updates_.Add(self_);
}

void membership::OnTick(monotonic_time now) {
  if (!last_tick_.has_value()) {
    // A random offset keeps instances that start together from probing in step.
    next_probe_at_ =
        now + milliseconds(random_() % settings_.probe_period.count());
    next_sync_at_ = now + milliseconds(random_() % 1000);
  } else if (now - *last_tick_ > settings_.probe_period) {
    ResetTimeouts(now);
  }
  last_tick_ = now;
  CheckProbes(now);
  CheckSuspects(now);
  CheckHints(now);
  if (now >= next_probe_at_) ProbeNext(now);
  if (std::exchange(has_new_updates_, false)) DisseminateUpdates(now);
  if (now >= next_sync_at_) SyncMemberList(now);
}

// After this process was paused, unread answers still wait in its rings. The
// missing answers therefore prove nothing about the other members.
void membership::ResetTimeouts(monotonic_time now) {
  pending_probes_.clear();
  table_.RestartTimeouts(now);
  next_probe_at_ = now;
}

void membership::CheckProbes(monotonic_time now) {
  std::vector<instance_identity> unanswered;
  for (auto each = pending_probes_.begin(); each != pending_probes_.end();) {
    pending_probe& waiting = each->second;
    const auto waited = now - waiting.sent;
    if (!waiting.indirect && waited >= settings_.probe_timeout) {
      waiting.indirect = true;
      if (!waiting.requested_by.has_value())
        RequestIndirectProbes(each->first, waiting.target);
    }
    if (waited < settings_.probe_period) {
      ++each;
      continue;
    }
    if (!waiting.requested_by.has_value()) unanswered.push_back(waiting.target);
    each = pending_probes_.erase(each);
  }
  for (const instance_identity& target : unanswered) {
    const member* known = table_.Find(target);
    if (known != nullptr && IsLiving(known->state)) {
      SetMemberState(*known, member_state::kSuspect, now);
    }
  }
}

void membership::CheckSuspects(monotonic_time now) {
  for (const std::string& name : table_.NamesInState(member_state::kSuspect)) {
    const member* known = table_.Find(name);
    if (now - known->since < settings_.suspicion_timeout) continue;
    SetMemberState(*known, member_state::kDeadUnproven, now);
  }
}

void membership::CheckHints(monotonic_time now) {
  const auto hint_timeout = settings_.probe_period * 4;
  std::size_t contacted = 0;
  for (const std::string& name : table_.NamesInState(member_state::kHinted)) {
    const member* known = table_.Find(name);
    if (now - known->since >= hint_timeout) {
      ExpireHint(*known, now);
      continue;
    }
    const auto asked = list_requested_at_.find(name);
    if (asked != list_requested_at_.end() &&
        now - asked->second < kListRequestInterval)
      continue;
    if (++contacted > kMaxHintContactsPerTick) break;
    list_requested_at_[name] = now;
    SendList(name, true);
  }
}

// A hint without an incarnation names an address but no process that could be
// suspected.
void membership::ExpireHint(const member& known, monotonic_time now) {
  if (known.identity.incarnation != 0) {
    return SetMemberState(known, member_state::kSuspect, now);
  }
  const std::string name = known.identity.name;
  list_requested_at_.erase(name);
  table_.Erase(name);
  changed_ = true;
}

void membership::EvictDead(monotonic_time now) {
  std::vector<std::string> evicted;
  for (const auto& each : table_.All()) {
    const member& known = each.second;
    const bool proven = known.state == member_state::kDeadProven &&
                        now - known.since > kDeadProvenRetention;
    const bool unproven = known.state == member_state::kDeadUnproven &&
                          now - known.since > kDeadUnprovenRetention;
    if (proven || unproven) evicted.push_back(each.first);
  }
  for (const std::string& name : evicted) {
    table_.Erase(name);
    list_requested_at_.erase(name);
    AddAction(forget_peer{name});
    changed_ = true;
  }
}

void membership::ProbeNext(monotonic_time now) {
  next_probe_at_ += settings_.probe_period;
  if (next_probe_at_ <= now) next_probe_at_ = now + settings_.probe_period;
  const auto target = probe_order_.Next(table_, random_);
  if (target.has_value()) SendProbe(*table_.Find(*target), std::nullopt, now);
}

// Updates that waited for the next probe at each hop would take seconds to
// reach a hundred members, so they are sent at once with extra probes, at most
// kDisseminationProbes per tick.
void membership::DisseminateUpdates(monotonic_time now) {
  for (const std::string& peer : PickRandomAlive(kDisseminationProbes, "")) {
    SendProbe(*table_.Find(peer), std::nullopt, now);
  }
}

void membership::SyncMemberList(monotonic_time now) {
  next_sync_at_ = now + sync_backoff_.Next(random_);
  EvictDead(now);
  for (const std::string& peer : PickRandomAlive(1, "")) SendList(peer, true);
}

void membership::SendProbe(const member& target,
                           std::optional<probe_requester> requested_by,
                           monotonic_time now) {
  if (pending_probes_.size() >= kMaxPendingProbes) return;
  const std::uint64_t sequence = ++last_sequence_;
  pending_probes_[sequence] = {target.identity, now, false,
                               std::move(requested_by)};
  const std::string& name = target.identity.name;
  AddAction(
      send_to_peer{name, probe{sequence, version_summary_, UpdatesFor(name)}});
}

// A new connection attempt distinguishes a terminated process, whose address
// refuses it, from a network path that lost the state of an open link, which
// the new connection replaces.
void membership::RequestIndirectProbes(std::uint64_t sequence,
                                       const instance_identity& target) {
  AddAction(dial_peer{target.name});
  for (const std::string& peer :
       PickRandomAlive(kIndirectProbes, target.name)) {
    AddAction(
        send_to_peer{peer, probe_request{sequence, target, UpdatesFor(peer)}});
  }
}

void membership::SendList(const std::string& peer, bool reply_wanted) {
  member_list message{reply_wanted, data_centre_, {self_}};
  for (const auto& each : table_.All()) {
    if (each.second.state == member_state::kHinted) continue;
    message.members.push_back(UpdateOf(each.second));
  }
  AddAction(send_to_peer{peer, std::move(message)});
}

void membership::OnMessage(const instance_identity& from,
                           const control_message& message, monotonic_time now) {
  if (const auto* asked = std::get_if<probe>(&message)) {
    Receive(from, *asked, now);
  } else if (const auto* reply = std::get_if<probe_reply>(&message)) {
    Receive(from, *reply, now);
  } else if (const auto* request = std::get_if<probe_request>(&message)) {
    Receive(from, *request, now);
  } else if (const auto* list = std::get_if<member_list>(&message)) {
    Receive(from, *list, now);
  }
}

void membership::Receive(const instance_identity& from, const probe& message,
                         monotonic_time now) {
  RequestListIfUnknown(from, now);
  ApplyUpdates(message.updates, now);
  AddAction(send_to_peer{
      from.name,
      probe_reply{message.sequence, version_summary_, UpdatesFor(from.name)}});
}

void membership::Receive(const instance_identity& from,
                         const probe_reply& message, monotonic_time now) {
  const auto answered = pending_probes_.find(message.sequence);
  if (answered != pending_probes_.end()) {
    const auto requested_by = answered->second.requested_by;
    pending_probes_.erase(answered);
    if (requested_by.has_value()) {
      AddAction(send_to_peer{
          requested_by->requester,
          probe_reply{requested_by->sequence, version_summary_, {}}});
    }
  }
  RequestListIfUnknown(from, now);
  ApplyUpdates(message.updates, now);
}

void membership::Receive(const instance_identity& from,
                         const probe_request& message, monotonic_time now) {
  RequestListIfUnknown(from, now);
  ApplyUpdates(message.updates, now);
  const member* target = table_.Find(message.target);
  if (target == nullptr) return;
  SendProbe(*target, probe_requester{from.name, message.sequence}, now);
}

void membership::Receive(const instance_identity& from,
                         const member_list& message, monotonic_time now) {
  if (message.data_centre != data_centre_) return;
  // Other members already know of all entries except possibly the sender
  // itself, so only that entry is passed on.
  for (const member_update& each : message.members) {
    ApplyUpdate(each, each.identity == from, now);
  }
  if (message.reply_wanted) SendList(from.name, false);
}

// A sender that is unknown, or known only by an older incarnation, is asked for
// its member list, which contains its address too.
void membership::RequestListIfUnknown(const instance_identity& from,
                                      monotonic_time now) {
  const member* known = table_.Find(from.name);
  const bool current = known != nullptr &&
                       known->state != member_state::kHinted &&
                       known->identity.incarnation >= from.incarnation;
  if (current) return;
  const auto asked = list_requested_at_.find(from.name);
  if (asked != list_requested_at_.end() &&
      now - asked->second < kListRequestInterval)
    return;
  list_requested_at_[from.name] = now;
  SendList(from.name, true);
}

void membership::ApplyUpdates(const std::vector<member_update>& updates,
                              monotonic_time now) {
  for (const member_update& each : updates) ApplyUpdate(each, true, now);
}

void membership::ApplyUpdate(const member_update& update, bool disseminate,
                             monotonic_time now) {
  if (update.identity.name == self_.identity.name)
    return ApplyUpdateAboutSelf(update);
  const member* known = table_.Find(update.identity.name);
  // Otherwise, members would repeat updates about a dead member to each other
  // forever.
  if (known == nullptr && IsDead(update.state)) return;
  const bool is_new_process =
      known == nullptr || known->identity != update.identity;
  if (!table_.Apply(update, now)) return;
  changed_ = true;
  if (disseminate) QueueUpdate(update);
  if (is_new_process)
    AddAction(set_peer_address{update.identity, update.peers});
}

// A suspected instance raises its refutation number, which takes precedence
// over the suspicion.
void membership::ApplyUpdateAboutSelf(const member_update& update) {
  if (update.identity.incarnation > self_.identity.incarnation) {
    superseded_ = true;
    changed_ = true;
  }
  const bool is_suspected = update.identity == self_.identity &&
                            update.state != member_state::kAlive &&
                            update.state != member_state::kLeft &&
                            update.refutation >= self_.refutation;
  if (!is_suspected) return;
  self_.refutation = update.refutation + 1;
  QueueUpdate(self_);
}

void membership::QueueUpdate(const member_update& update) {
  outgoing_updates_.Add(update);
  has_new_updates_ = true;
}

void membership::SetMemberState(const member& known, member_state state,
                                monotonic_time now) {
  member_update update = UpdateOf(known);
  update.state = state;
  ApplyUpdate(update, true, now);
}

void membership::OnHint(const instance_identity& identity,
                        const endpoint& peers, monotonic_time now) {
  if (identity.name == self_.identity.name) return;
  ApplyUpdate({identity, peers, member_state::kHinted, 0, {}}, false, now);
}

void membership::OnPeerLink(const peer_link_event& event, monotonic_time now) {
  const member* known = table_.Find(event.peer);
  if (known == nullptr || known->state == member_state::kDeadProven) return;
  switch (event.state) {
    case peer_link_event::link_state::kUp:
      return;
    case peer_link_event::link_state::kRefused:
      if (event.peer.incarnation == 0) return ExpireHint(*known, now);
      return SetMemberState(*known, member_state::kDeadProven, now);
    case peer_link_event::link_state::kClosed:
    case peer_link_event::link_state::kSilent:
      // The probe opens a new connection, as the link is gone. An answer, a
      // refusal or a timeout then shows the state of the process.
      if (IsLiving(known->state) && !HasPendingProbe(known->identity)) {
        SendProbe(*known, std::nullopt, now);
      }
      return;
  }
}

bool membership::HasPendingProbe(const instance_identity& target) const {
  return std::any_of(
      pending_probes_.begin(), pending_probes_.end(),
      [&target](const auto& each) { return each.second.target == target; });
}

void membership::Leave(monotonic_time /*now*/) {
  self_.state = member_state::kLeft;
  ++self_.refutation;
  outgoing_updates_.Add(self_);
  for (const std::string& peer : PickRandomAlive(kLeaveNotifications, "")) {
    AddAction(
        send_to_peer{peer, probe{++last_sequence_, version_summary_, {self_}}});
  }
}

// A peer that is not believed alive is told so in the next message, so that it
// can refute in time.
std::vector<member_update> membership::UpdatesFor(const std::string& peer) {
  std::vector<member_update> updates =
      outgoing_updates_.Take(table_.LivingCount() + 1, kUpdatesPerMessage);
  const member* known = table_.Find(peer);
  const bool is_suspected = known != nullptr &&
                            known->state != member_state::kAlive &&
                            known->state != member_state::kLeft;
  if (is_suspected) updates.push_back(UpdateOf(*known));
  return updates;
}

std::vector<std::string> membership::PickRandomAlive(
    std::size_t count, const std::string& excluded) {
  std::vector<std::string> names = table_.NamesInState(member_state::kAlive);
  names.erase(std::remove(names.begin(), names.end(), excluded), names.end());
  std::vector<std::string> chosen;
  std::sample(names.begin(), names.end(), std::back_inserter(chosen), count,
              random_);
  return chosen;
}

std::vector<peer_action> membership::TakeActions() {
  return std::exchange(actions_, {});
}

bool membership::TakeChanged() { return std::exchange(changed_, false); }

}  // namespace papayaglade
