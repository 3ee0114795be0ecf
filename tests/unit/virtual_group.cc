#include "virtual_group.h"

#include <algorithm>
#include <utility>

#include "protocol/peer_codec.h"

namespace papayaglade {

namespace {

using std::chrono::milliseconds;
using link_state = peer_link_event::link_state;

constexpr milliseconds kTick{50};
constexpr milliseconds kLinkDelay{1};
constexpr milliseconds kDialTimeout{1000};
// WebSocket frame, TCP and IP headers of one message.
constexpr std::uint64_t kHeaderBytes = 60;
constexpr std::uint64_t kBytesPerMicrosecond = 12;

}  // namespace

versioned_object ConfigurationOf(std::uint64_t version, std::size_t size) {
  return {{object_kind::kConfiguration, "current"},
          version,
          std::string(size, 'c')};
}

virtual_group::virtual_group(std::uint64_t seed) : random_(seed) {}

void virtual_group::Start(const std::string& name,
                          const std::string& data_centre) {
  if (instances_.count(name) != 0) Kill(name);
  instance& started = instances_[name];
  const instance_identity identity{name, ++last_incarnation_};
  const endpoint address{"127.0.0.1",
                         static_cast<std::uint16_t>(instances_.size())};
  started.identity = identity;
  started.data_centre = data_centre;
  if (started.address.port == 0) started.address = address;
  started.running = true;
  started.frozen = false;
  started.frozen_inbox.clear();
  started.known.clear();
  started.accepted.clear();
  started.members = std::make_unique<membership>(
      member_update{identity, started.address, member_state::kAlive, 0},
      data_centre, membership_settings{}, random_());
  started.gossip = std::make_unique<object_gossip>(
      [this, name](const versioned_object& object) {
        instances_.at(name).accepted[object.version] = now_;
        return true;
      },
      random_());
}

void virtual_group::Hint(const std::string& name, const std::string& other) {
  const instance& hinted = At(other);
  At(name).members->OnHint(hinted.identity, hinted.address, now_);
  Flush(At(name));
}

void virtual_group::Kill(const std::string& name) {
  instance& killed = At(name);
  killed.running = false;
  for (auto& each : instances_) {
    if (each.second.known.count(name) == 0) continue;
    const std::string peer = each.first;
    const instance_identity ended = killed.identity;
    ScheduleAfter(kLinkDelay, [this, peer, ended] {
      ReportLink(peer, ended, link_state::kClosed);
    });
  }
}

void virtual_group::Freeze(const std::string& name) { At(name).frozen = true; }

void virtual_group::Thaw(const std::string& name) {
  instance& thawed = At(name);
  thawed.frozen = false;
  for (const send_to_peer& held : std::exchange(thawed.frozen_inbox, {})) {
    thawed.members->OnMessage(At(held.peer).identity, held.message, now_);
    thawed.gossip->OnMessage(held.peer, held.message, now_);
  }
  Flush(thawed);
}

void virtual_group::SetCut(
    std::function<bool(const std::string&, const std::string&)> cut) {
  cut_ = std::move(cut);
}

void virtual_group::SetGateways(const std::string& name,
                                std::vector<std::string> gateways) {
  At(name).gossip->SetGateways(std::move(gateways));
}

void virtual_group::Offer(const std::string& name,
                          const versioned_object& object) {
  At(name).gossip->Offer(object, now_);
  Flush(At(name));
}

void virtual_group::Advance(milliseconds by) {
  const monotonic_time end = now_ + by;
  while (now_ < end) {
    const monotonic_time next_tick = now_ + kTick;
    while (!queue_.empty() && queue_.top().at <= next_tick) {
      const delivery next = queue_.top();
      queue_.pop();
      now_ = std::max(now_, next.at);
      next.run();
    }
    now_ = next_tick;
    Tick();
  }
}

milliseconds virtual_group::AdvanceUntil(const std::function<bool()>& done,
                                         milliseconds bound) {
  const monotonic_time start = now_;
  while (!done() && now_ - start < bound) Advance(kTick);
  return std::chrono::duration_cast<milliseconds>(now_ - start);
}

void virtual_group::Tick() {
  for (auto& each : instances_) {
    instance& ticked = each.second;
    if (!ticked.running || ticked.frozen) continue;
    ticked.members->SetVersionSummary(ticked.gossip->Store().Summary());
    ticked.members->OnTick(now_);
    ticked.gossip->OnTick(now_);
    Flush(ticked);
  }
}

void virtual_group::Flush(instance& from) {
  if (from.members->TakeChanged()) UpdateGossipMembers(from);
  for (const peer_action& each : from.members->TakeActions()) {
    Perform(from, each);
  }
  for (const peer_action& each : from.gossip->TakeActions()) {
    Perform(from, each);
  }
}

void virtual_group::UpdateGossipMembers(instance& of) {
  std::vector<std::string> alive;
  for (const member& each : of.members->Members()) {
    if (each.state == member_state::kAlive) alive.push_back(each.identity.name);
  }
  of.gossip->SetMembers(std::move(alive));
}

void virtual_group::Perform(instance& from, const peer_action& action) {
  if (const auto* learnt = std::get_if<set_peer_address>(&action)) {
    from.known[learnt->peer.name] = learnt->peer.incarnation;
  } else if (const auto* dialled = std::get_if<dial_peer>(&action)) {
    ConnectTo(from, dialled->peer);
  } else if (const auto* sent = std::get_if<send_to_peer>(&action)) {
    Transmit(from, *sent);
  }
}

// Returns whether `peer` can be reached. If not, reports the reason to the
// sender, as a link would.
bool virtual_group::ConnectTo(instance& from, const std::string& peer) {
  const std::string sender = from.identity.name;
  const instance_identity target{peer, from.known[peer]};
  const instance& to = At(peer);
  const bool cut = IsCut(sender, peer);
  if (cut || to.frozen) {
    ScheduleAfter(kDialTimeout, [this, sender, target] {
      if (!At(target.name).frozen && !IsCut(sender, target.name)) return;
      ReportLink(sender, target, link_state::kSilent);
    });
  } else if (!to.running) {
    ScheduleAfter(kLinkDelay, [this, sender, target] {
      ReportLink(sender, target, link_state::kRefused);
    });
  }
  return !cut && to.running;
}

void virtual_group::Transmit(instance& from, const send_to_peer& action) {
  if (!ConnectTo(from, action.peer)) return;
  const instance_identity sender = from.identity;
  ScheduleAfter(kLinkDelay + TransferTime(from, action),
                [this, sender, action] { Deliver(sender, action); });
}

std::chrono::microseconds virtual_group::TransferTime(
    instance& from, const send_to_peer& action) {
  ++from.sent.messages;
  if (!measure_bytes_) return std::chrono::microseconds(0);
  const std::string bytes = EncodePeerMessage(control_message(action.message));
  DecodePeerMessage(bytes);
  const std::uint64_t size = bytes.size() + kHeaderBytes;
  from.sent.bytes += size;
  from.link_free_at = std::max(from.link_free_at, now_) +
                      std::chrono::microseconds(size / kBytesPerMicrosecond);
  return std::chrono::duration_cast<std::chrono::microseconds>(
      from.link_free_at - now_);
}

void virtual_group::Deliver(const instance_identity& sender,
                            const send_to_peer& action) {
  instance& to = At(action.peer);
  if (!to.running) return;
  if (to.frozen) {
    to.frozen_inbox.push_back({sender.name, action.message});
    return;
  }
  to.known.emplace(sender.name, sender.incarnation);
  to.members->OnMessage(sender, action.message, now_);
  to.gossip->OnMessage(sender.name, action.message, now_);
  Flush(to);
}

void virtual_group::ReportLink(const std::string& to,
                               const instance_identity& peer,
                               link_state state) {
  instance& recipient = At(to);
  if (!recipient.running || recipient.frozen) return;
  recipient.members->OnPeerLink({peer, state}, now_);
  Flush(recipient);
}

void virtual_group::ScheduleAfter(std::chrono::microseconds delay,
                                  std::function<void()> run) {
  queue_.push({now_ + delay, ++last_sequence_, std::move(run)});
}

bool virtual_group::IsCut(const std::string& from,
                          const std::string& to) const {
  return cut_ != nullptr && (cut_(from, to) || cut_(to, from));
}

member_state virtual_group::Belief(const std::string& name,
                                   const std::string& other) {
  for (const member& each : At(name).members->Members()) {
    if (each.identity == At(other).identity) return each.state;
  }
  return member_state::kHinted;
}

bool virtual_group::AllBelieve(const std::string& name, member_state state) {
  return std::all_of(instances_.begin(), instances_.end(),
                     [this, &name, state](const auto& each) {
                       return each.first == name || !each.second.running ||
                              each.second.frozen ||
                              Belief(each.first, name) == state;
                     });
}

bool virtual_group::AllHold(std::uint64_t version) {
  return std::all_of(instances_.begin(), instances_.end(),
                     [version](const auto& each) {
                       return !each.second.running || each.second.frozen ||
                              each.second.accepted.count(version) != 0;
                     });
}

}  // namespace papayaglade
