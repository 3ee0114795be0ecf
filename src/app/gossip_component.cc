#include "app/gossip_component.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "app/peer_actions.h"
#include "app/view_builder.h"
#include "coordination/rendezvous.h"

namespace papayaglade {

namespace {

// With two instances in each role, a change is not delayed if one of them hangs
// or loses the platform.
constexpr std::size_t kWatchersPerDataCentre = 2;
constexpr std::size_t kGatewaysPerDataCentre = 2;

object_feed MakeFeed(object_kind kind, std::uint64_t seed) {
  return {ObjectKindName(kind), seed + static_cast<std::uint64_t>(kind)};
}

std::vector<std::string> NamesOf(const std::vector<roster_member>& members) {
  std::vector<std::string> names;
  names.reserve(members.size());
  for (const roster_member& each : members) {
    names.push_back(each.identity.name);
  }
  return names;
}

}  // namespace

gossip_component::gossip_component(control_context& context,
                                   object_gossip::accept_function accept)
    : context_(context),
      gossip_(std::move(accept), context.Self().incarnation),
      feeds_{MakeFeed(object_kind::kConfiguration, context.Self().incarnation),
             MakeFeed(object_kind::kSnapshots, context.Self().incarnation),
             MakeFeed(object_kind::kRoster, context.Self().incarnation),
             MakeFeed(object_kind::kOrder, context.Self().incarnation)} {
  ChoosePeers();
}

bool gossip_component::Offer(const versioned_object& object) {
  const bool accepted = gossip_.Offer(object, context_.Now());
  Flush();
  return accepted;
}

void gossip_component::OnTick(monotonic_time now) {
  for (object_feed& feed : feeds_) {
    auto operation = feed.Next(now);
    if (!operation.has_value()) continue;
    context_.CallPlatform(
        *std::move(operation),
        [this, &feed](const platform_reply& reply) { OnRead(feed, reply); });
  }
  gossip_.OnTick(now);
  Flush();
}

void gossip_component::OnRead(object_feed& feed, const platform_reply& reply) {
  const monotonic_time now = context_.Now();
  feed.OnReply(reply, now);
  if (reply.status == platform_status::kOk) gossip_.Confirm(now);
  for (const platform_object& stored : reply.objects) {
    const auto object = ReadSharedObject(stored);
    if (object.has_value()) context_.Offer(*object);
  }
}

void gossip_component::OnControlMessage(const instance_identity& from,
                                        const control_message& message) {
  gossip_.OnMessage(from.name, message, context_.Now());
  Flush();
}

void gossip_component::OnMembersChanged() { ChoosePeers(); }

void gossip_component::OnObject(const versioned_object& object) {
  if (object.key.kind != object_kind::kRoster) return;
  UpdateAddresses(object.key.name);
  ChoosePeers();
}

// Addresses in the own data centre come from membership, which may know newer
// incarnations than a roster.
void gossip_component::UpdateAddresses(const std::string& data_centre) {
  if (data_centre == context_.Settings().data_centre) return;
  for (const roster& each : context_.View().rosters) {
    if (each.data_centre != data_centre) continue;
    for (const roster_member& listed : each.members) {
      context_.Peers().SetAddress(listed.identity, listed.peers);
    }
  }
}

void gossip_component::ChoosePeers() {
  std::vector<std::string> alive;
  for (const member& each : context_.Members()) {
    if (each.state == member_state::kAlive) {
      alive.push_back(each.identity.name);
    }
  }
  gossip_.SetMembers(alive);
  gossip_.SetGateways(Gateways());
  ChooseWatchers(std::move(alive));
}

void gossip_component::ChooseWatchers(std::vector<std::string> alive) {
  alive.push_back(context_.Self().name);
  const auto watchers =
      RendezvousPick("watch/" + context_.Settings().data_centre, alive,
                     kWatchersPerDataCentre);
  watching_ = std::find(watchers.begin(), watchers.end(),
                        context_.Self().name) != watchers.end();
  for (object_feed& feed : feeds_) feed.SetWatching(watching_);
}

std::vector<std::string> gossip_component::Gateways() const {
  std::vector<std::string> gateways;
  for (const roster& each : context_.View().rosters) {
    if (each.data_centre == context_.Settings().data_centre) continue;
    const auto chosen = RendezvousPick(
        context_.Self().name, NamesOf(each.members), kGatewaysPerDataCentre);
    gateways.insert(gateways.end(), chosen.begin(), chosen.end());
  }
  return gateways;
}

void gossip_component::Flush() {
  PerformPeerActions(gossip_.TakeActions(), context_);
}

void gossip_component::Describe(nlohmann::json& status) const {
  using std::chrono::milliseconds;
  nlohmann::json versions = nlohmann::json::object();
  for (const version_entry& each : gossip_.Store().Versions()) {
    versions[ObjectKindName(each.key.kind)][each.key.name] = each.version;
  }
  status["versions"] = std::move(versions);
  status["watches_platform"] = watching_;
  const auto confirmed = gossip_.LastConfirmedAt();
  if (confirmed.has_value()) {
    const auto age = context_.Now() - *confirmed;
    status["stale_ms"] = std::chrono::duration_cast<milliseconds>(age).count();
  } else {
    status["stale_ms"] = nullptr;
  }
}

}  // namespace papayaglade
