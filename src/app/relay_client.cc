#include "app/relay_client.h"

#include <algorithm>
#include <utility>

#include "protocol/relay_codec.h"

namespace papayaglade {

namespace {

using std::chrono::milliseconds;

// An instance that has sent nothing for this long after it should have replied
// is blocked for a while.
constexpr milliseconds kMaxReplyDelay{60};
// The link to an instance that is silent for this long is opened anew.
constexpr milliseconds kMaxLinkSilence{400};

}  // namespace

relay_client::relay_client(loop_context& loop, instance_links& links,
                           fleet_member self,
                           reachability_monitor& reachability)
    : loop_(loop),
      links_(links),
      reachability_(reachability),
      peers_(std::move(self)) {
  links_.AddHandlers(
      {[this](auto link) { OnOpen(link); },
       [this](auto link, const std::string& bytes) {
         return OnMessage(link, bytes);
       },
       [this](auto link, const std::string& /*why*/) { OnClosed(link); }});
}

relay_client::id relay_client::Send(const std::string& data_centre,
                                    relay_request request, handlers handlers) {
  const monotonic_time now = loop_context::Now();
  Dial(data_centre);
  const relay_peer_pointer peer = peers_.Choose(data_centre, now);
  if (peer == nullptr) return 0;
  const id number = ++last_id_;
  request.id = number;
  exchange started;
  started.peer = peer;
  started.link = links_by_peer_.at(peer.get());
  started.flush_after = request.flush_after;
  started.begun =
      peer->health.BeginAttempt(now, request.flush_after + kMaxReplyDelay);
  started.on = std::move(handlers);
  ++totals_.requests;
  totals_.legs += request.legs.size();
  const instance_links::id link = started.link;
  exchanges_.emplace(number, std::move(started));
  links_.Send(link, EncodeRelayMessage(request));
  return number;
}

void relay_client::Cancel(id number, std::uint64_t leg) {
  const auto found = exchanges_.find(number);
  if (found == exchanges_.end()) return;
  std::vector<std::uint64_t>& cancelled = found->second.cancelled;
  cancelled.push_back(leg);
  if (cancelled.size() > 1) return;
  loop_.ScheduleAfter(milliseconds(0), [this, number](monotonic_time) {
    FlushCancelled(number);
  });
}

void relay_client::FlushCancelled(id number) {
  const auto found = exchanges_.find(number);
  if (found == exchanges_.end()) return;
  auto& cancelled = found->second.cancelled;
  if (cancelled.empty()) return;
  links_.Send(found->second.link, EncodeRelayMessage(relay_cancel{
                                      number, std::exchange(cancelled, {})}));
}

void relay_client::End(id number) {
  const auto found = exchanges_.find(number);
  if (found == exchanges_.end()) return;
  FlushCancelled(number);
  const exchange ended = std::move(found->second);
  exchanges_.erase(found);
  if (ended.replied) return;
  const monotonic_time now = loop_context::Now();
  observed_health& health = ended.peer->health;
  const auto age = now - ended.begun;
  if (age < ended.flush_after + kMaxReplyDelay)
    return health.RecordCancellation(ended.begun);
  ++totals_.silent;
  health.RecordTimeout(ended.begun, now);
  if (age < ended.flush_after + kMaxLinkSilence) return;
  links_.Close(ended.link);
  OnClosed(ended.link);
}

void relay_client::Dial(const std::string& data_centre) {
  const monotonic_time now = loop_context::Now();
  for (const relay_peer_pointer& each : peers_.TakeDials(data_centre, now)) {
    const instance_links::id link = links_.Dial(each->member.control);
    peers_by_link_[link] = each;
    links_by_peer_[each.get()] = link;
  }
}

void relay_client::OnOpen(instance_links::id link) {
  const auto found = peers_by_link_.find(link);
  if (found != peers_by_link_.end()) relay_peers::OnOpen(*found->second);
}

bool relay_client::OnMessage(instance_links::id link,
                             const std::string& bytes) {
  if (peers_by_link_.count(link) == 0 || !IsRelayMessage(bytes)) return false;
  const auto message = DecodeRelayMessage(bytes);
  if (!message.has_value()) return false;
  const auto* reply = std::get_if<relay_reply>(&*message);
  if (reply == nullptr) return false;
  OnReply(link, *reply);
  return true;
}

void relay_client::OnReply(instance_links::id link, const relay_reply& reply) {
  const monotonic_time now = loop_context::Now();
  const relay_peer_pointer peer = peers_by_link_.at(link);
  reachability_.OnContact(peer->member.data_centre, now);
  peer->backoff = milliseconds(0);
  if (reply.stopping) relay_peers::OnStopping(*peer, now);
  const auto found = exchanges_.find(reply.id);
  if (found == exchanges_.end() || found->second.link != link) return;
  if (!found->second.replied) {
    found->second.replied = true;
    const auto expected = std::max<std::chrono::microseconds>(
        found->second.flush_after, milliseconds(1));
    peer->health.RecordAnswer(found->second.begun, expected, now);
  }
  const auto on_reply = found->second.on.on_reply;
  on_reply(reply);
}

void relay_client::OnClosed(instance_links::id link) {
  const auto found = peers_by_link_.find(link);
  if (found == peers_by_link_.end()) return;
  const relay_peer_pointer peer = found->second;
  peers_by_link_.erase(found);
  links_by_peer_.erase(peer.get());
  relay_peers::OnClosed(*peer, loop_context::Now());
  std::vector<std::function<void()>> lost;
  for (auto each = exchanges_.begin(); each != exchanges_.end();) {
    if (each->second.link != link) {
      ++each;
      continue;
    }
    if (!each->second.replied)
      peer->health.RecordCancellation(each->second.begun);
    lost.push_back(std::move(each->second.on.on_lost));
    each = exchanges_.erase(each);
  }
  totals_.lost += lost.size();
  if (lost.empty()) return;
  // The link may be closed while a request ends, which must not lead into the
  // end of others.
  loop_.ScheduleAfter(milliseconds(0), [lost](monotonic_time) {
    for (const auto& each : lost) each();
  });
}

}  // namespace papayaglade
