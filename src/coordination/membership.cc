#include "coordination/membership.h"

#include <algorithm>
#include <utility>

namespace papayaglade {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Bounds the bytes of a probe: an update takes about 40 B.
constexpr std::size_t kUpdatesPerMessage = 8;
constexpr std::size_t kIndirectProbes = 3;
constexpr std::size_t kNewsProbes = 2;
// Peers that hear of this instance's end at once; gossip tells the rest.
constexpr std::size_t kFarewells = 8;
constexpr std::size_t kHintsPerTick = 3;
constexpr milliseconds kAskAgain{2000};
// A list of all members corrects what gossip has missed.
constexpr milliseconds kFirstComparison{1000};
constexpr milliseconds kComparisonPeriod{30000};
constexpr seconds kForgetProven{60};
constexpr std::chrono::minutes kForgetUnproven{30};
constexpr std::size_t kMostPending = 1024;

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
      comparison_wait_(kFirstComparison, kComparisonPeriod) {
  updates_.Add(self_);
}

void membership::OnTick(monotonic_time now) {
  if (!last_tick_.has_value()) {
    // Instances that start together must not probe in step.
    next_probe_ =
        now + milliseconds(random_() % settings_.probe_period.count());
    next_comparison_ = now + milliseconds(random_() % 1000);
  } else if (now - *last_tick_ > settings_.probe_period) {
    ShiftDeadlines(now);
  }
  last_tick_ = now;
  CheckProbes(now);
  CheckSuspects(now);
  CheckHints(now);
  if (now >= next_probe_) ProbeNext(now);
  if (std::exchange(news_, false)) SpreadNews(now);
  if (now >= next_comparison_) CompareLists(now);
}

// After a pause of this process the answers still wait in its rings, so the
// silence is its own and proves nothing about the others.
void membership::ShiftDeadlines(monotonic_time now) {
  pending_.clear();
  table_.RestartWaits(now);
  next_probe_ = now;
}

void membership::CheckProbes(monotonic_time now) {
  std::vector<instance_identity> silent;
  for (auto each = pending_.begin(); each != pending_.end();) {
    pending_probe& waiting = each->second;
    const auto waited = now - waiting.sent;
    if (!waiting.indirect && waited >= settings_.probe_timeout) {
      waiting.indirect = true;
      if (!waiting.owner.has_value()) AskOthers(each->first, waiting.target);
    }
    if (waited < settings_.probe_period) {
      ++each;
      continue;
    }
    if (!waiting.owner.has_value()) silent.push_back(waiting.target);
    each = pending_.erase(each);
  }
  for (const instance_identity& target : silent) {
    const member* known = table_.Find(target);
    if (known != nullptr && IsLiving(known->state)) {
      Declare(*known, member_state::kSuspect, now);
    }
  }
}

void membership::CheckSuspects(monotonic_time now) {
  for (const std::string& name : table_.NamesIn(member_state::kSuspect)) {
    const member* known = table_.Find(name);
    if (now - known->since < settings_.suspicion) continue;
    Declare(*known, member_state::kDeadUnproven, now);
  }
}

void membership::CheckHints(monotonic_time now) {
  const auto patience = settings_.probe_period * 4;
  std::size_t contacts = 0;
  for (const std::string& name : table_.NamesIn(member_state::kHinted)) {
    const member* known = table_.Find(name);
    if (now - known->since >= patience) {
      GiveUpHint(*known, now);
      continue;
    }
    const auto asked = asked_.find(name);
    if (asked != asked_.end() && now - asked->second < kAskAgain) continue;
    if (++contacts > kHintsPerTick) break;
    asked_[name] = now;
    SendList(name, true);
  }
}

// A hint without an incarnation names an address, not a process to doubt.
void membership::GiveUpHint(const member& known, monotonic_time now) {
  if (known.identity.incarnation != 0) {
    return Declare(known, member_state::kSuspect, now);
  }
  const std::string name = known.identity.name;
  asked_.erase(name);
  table_.Erase(name);
  changed_ = true;
}

void membership::ForgetDead(monotonic_time now) {
  std::vector<std::string> forgotten;
  for (const auto& each : table_.All()) {
    const member& known = each.second;
    const bool proven = known.state == member_state::kDeadProven &&
                        now - known.since > kForgetProven;
    const bool unproven = known.state == member_state::kDeadUnproven &&
                          now - known.since > kForgetUnproven;
    if (proven || unproven) forgotten.push_back(each.first);
  }
  for (const std::string& name : forgotten) {
    table_.Erase(name);
    asked_.erase(name);
    Act(forget_peer{name});
    changed_ = true;
  }
}

void membership::ProbeNext(monotonic_time now) {
  next_probe_ += settings_.probe_period;
  if (next_probe_ <= now) next_probe_ = now + settings_.probe_period;
  const auto target = order_.Next(table_, random_);
  if (target.has_value()) SendProbe(*table_.Find(*target), std::nullopt, now);
}

// News that waited for the next probe at each hop would take seconds to reach
// a hundred members. At most this many extra probes go out in a tick.
void membership::SpreadNews(monotonic_time now) {
  for (const std::string& peer : RandomAlive(kNewsProbes, "")) {
    SendProbe(*table_.Find(peer), std::nullopt, now);
  }
}

void membership::CompareLists(monotonic_time now) {
  next_comparison_ = now + comparison_wait_.Next(random_);
  ForgetDead(now);
  for (const std::string& peer : RandomAlive(1, "")) SendList(peer, true);
}

void membership::SendProbe(const member& target, std::optional<relay> owner,
                           monotonic_time now) {
  if (pending_.size() >= kMostPending) return;
  const std::uint64_t sequence = ++last_sequence_;
  pending_[sequence] = {target.identity, now, false, std::move(owner)};
  const std::string& name = target.identity.name;
  Act(send_to_peer{name, probe{sequence, versions_, UpdatesFor(name)}});
}

// The fresh dial tells a process that is gone, which refuses, from a path that
// lost track of an open link, which the dial replaces.
void membership::AskOthers(std::uint64_t sequence,
                           const instance_identity& target) {
  Act(dial_peer{target.name});
  for (const std::string& peer : RandomAlive(kIndirectProbes, target.name)) {
    Act(send_to_peer{peer, probe_request{sequence, target, UpdatesFor(peer)}});
  }
}

void membership::SendList(const std::string& peer, bool reply_wanted) {
  member_list message{reply_wanted, data_centre_, {self_}};
  for (const auto& each : table_.All()) {
    if (each.second.state == member_state::kHinted) continue;
    message.members.push_back(UpdateOf(each.second));
  }
  Act(send_to_peer{peer, std::move(message)});
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
  NoteContact(from, now);
  Merge(message.updates, now);
  Act(send_to_peer{from.name, probe_reply{message.sequence, versions_,
                                          UpdatesFor(from.name)}});
}

void membership::Receive(const instance_identity& from,
                         const probe_reply& message, monotonic_time now) {
  const auto answered = pending_.find(message.sequence);
  if (answered != pending_.end()) {
    const auto owner = answered->second.owner;
    pending_.erase(answered);
    if (owner.has_value()) {
      Act(send_to_peer{owner->requester,
                       probe_reply{owner->sequence, versions_, {}}});
    }
  }
  NoteContact(from, now);
  Merge(message.updates, now);
}

void membership::Receive(const instance_identity& from,
                         const probe_request& message, monotonic_time now) {
  NoteContact(from, now);
  Merge(message.updates, now);
  const member* target = table_.Find(message.target);
  if (target == nullptr) return;
  SendProbe(*target, relay{from.name, message.sequence}, now);
}

void membership::Receive(const instance_identity& from,
                         const member_list& message, monotonic_time now) {
  if (message.data_centre != data_centre_) return;
  // Others have heard of all but the sender itself, so only that is passed on.
  for (const member_update& each : message.members) {
    Learn(each, each.identity == from, now);
  }
  if (message.reply_wanted) SendList(from.name, false);
}

// A sender that is not known, or only as an older life, tells its address and
// its members when asked.
void membership::NoteContact(const instance_identity& from,
                             monotonic_time now) {
  const member* known = table_.Find(from.name);
  const bool current = known != nullptr &&
                       known->state != member_state::kHinted &&
                       known->identity.incarnation >= from.incarnation;
  if (current) return;
  const auto asked = asked_.find(from.name);
  if (asked != asked_.end() && now - asked->second < kAskAgain) return;
  asked_[from.name] = now;
  SendList(from.name, true);
}

void membership::Merge(const std::vector<member_update>& updates,
                       monotonic_time now) {
  for (const member_update& each : updates) Learn(each, true, now);
}

void membership::Learn(const member_update& update, bool pass_on,
                       monotonic_time now) {
  if (update.identity.name == self_.identity.name) return LearnOfSelf(update);
  const member* known = table_.Find(update.identity.name);
  // Members would else go on reminding each other of the dead for good.
  if (known == nullptr && IsDead(update.state)) return;
  const bool moved = known == nullptr || known->identity != update.identity;
  if (!table_.Apply(update, now)) return;
  changed_ = true;
  if (pass_on) PassOn(update);
  if (moved) Act(learn_address{update.identity, update.peers});
}

// The one who is doubted raises its refutation, which goes before the doubt.
void membership::LearnOfSelf(const member_update& update) {
  if (update.identity.incarnation > self_.identity.incarnation) {
    superseded_ = true;
    changed_ = true;
  }
  const bool doubted = update.identity == self_.identity &&
                       update.state != member_state::kAlive &&
                       update.state != member_state::kLeft &&
                       update.refutation >= self_.refutation;
  if (!doubted) return;
  self_.refutation = update.refutation + 1;
  PassOn(self_);
}

void membership::PassOn(const member_update& update) {
  updates_.Add(update);
  news_ = true;
}

void membership::Declare(const member& known, member_state state,
                         monotonic_time now) {
  member_update update = UpdateOf(known);
  update.state = state;
  Learn(update, true, now);
}

void membership::OnHint(const instance_identity& identity,
                        const endpoint& peers, monotonic_time now) {
  if (identity.name == self_.identity.name) return;
  Learn({identity, peers, member_state::kHinted, 0, {}}, false, now);
}

void membership::OnPeerLink(const peer_link_event& event, monotonic_time now) {
  const member* known = table_.Find(event.peer);
  if (known == nullptr || known->state == member_state::kDeadProven) return;
  switch (event.state) {
    case peer_link_event::link_state::kUp:
      return;
    case peer_link_event::link_state::kRefused:
      if (event.peer.incarnation == 0) return GiveUpHint(*known, now);
      return Declare(*known, member_state::kDeadProven, now);
    case peer_link_event::link_state::kClosed:
    case peer_link_event::link_state::kSilent:
      // The probe dials, as the link is gone; its answer, a refusal or silence
      // then says which it was.
      if (IsLiving(known->state) && !IsProbed(known->identity)) {
        SendProbe(*known, std::nullopt, now);
      }
      return;
  }
}

bool membership::IsProbed(const instance_identity& target) const {
  return std::any_of(
      pending_.begin(), pending_.end(),
      [&target](const auto& each) { return each.second.target == target; });
}

void membership::Leave(monotonic_time /*now*/) {
  self_.state = member_state::kLeft;
  ++self_.refutation;
  updates_.Add(self_);
  for (const std::string& peer : RandomAlive(kFarewells, "")) {
    Act(send_to_peer{peer, probe{++last_sequence_, versions_, {self_}}});
  }
}

// One that is doubted hears of it first, so that it can refute in time.
std::vector<member_update> membership::UpdatesFor(const std::string& peer) {
  std::vector<member_update> updates =
      updates_.Take(table_.LivingCount() + 1, kUpdatesPerMessage);
  const member* known = table_.Find(peer);
  const bool doubted = known != nullptr &&
                       known->state != member_state::kAlive &&
                       known->state != member_state::kLeft;
  if (doubted) updates.push_back(UpdateOf(*known));
  return updates;
}

std::vector<std::string> membership::RandomAlive(std::size_t count,
                                                 const std::string& except) {
  std::vector<std::string> names = table_.NamesIn(member_state::kAlive);
  names.erase(std::remove(names.begin(), names.end(), except), names.end());
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
