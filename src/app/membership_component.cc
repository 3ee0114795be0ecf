#include "app/membership_component.h"

#include <glog/logging.h>
#include <signal.h>
#include <unistd.h>

#include <algorithm>
#include <nlohmann/json.hpp>

#include "app/peer_actions.h"

namespace papayaglade {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kInitialListDelay{2000};
constexpr milliseconds kMaxListDelay{120000};
constexpr milliseconds kSeedInterval{2000};

membership_settings MembershipSettingsOf(
    const coordination_settings& settings) {
  return {settings.probe_interval, settings.probe_timeout,
          settings.suspicion_timeout};
}

bool HasAliveMember(const std::vector<member>& members) {
  return std::any_of(members.begin(), members.end(), [](const member& each) {
    return each.state == member_state::kAlive;
  });
}

}  // namespace

membership_component::membership_component(control_context& context)
    : context_(context),
      random_(context.Self().incarnation),
      membership_({context.Self(), context.Settings().peers,
                   member_state::kAlive, 0, context.Settings().operators},
                  context.Settings().data_centre,
                  MembershipSettingsOf(context.Settings().coordination),
                  context.Self().incarnation),
      list_backoff_(kInitialListDelay, kMaxListDelay) {}

void membership_component::OnTick(monotonic_time now) {
  if (now >= next_seed_time_) AddSeedHints(now);
  if (now >= next_list_time_ && !list_pending_) RequestInstanceList(now);
  membership_.SetVersionSummary(context_.VersionSummary());
  membership_.OnTick(now);
  Flush();
}

// Seeds allow a start while the platform is unavailable. They are used only
// while no other member is alive; a member found through a seed knows the
// others.
void membership_component::AddSeedHints(monotonic_time now) {
  next_seed_time_ = now + kSeedInterval;
  if (HasAliveMember(context_.Members())) return;
  for (const seed_peer& each : context_.Settings().seeds) {
    membership_.OnHint({each.name, 0}, each.peers, now);
  }
}

void membership_component::RequestInstanceList(monotonic_time now) {
  list_pending_ = true;
  next_list_time_ = now + list_backoff_.Next(random_);
  context_.CallPlatform(
      platform_list_instances{},
      [this](const platform_reply& reply) { OnInstanceList(reply); });
}

void membership_component::OnInstanceList(const platform_reply& reply) {
  list_pending_ = false;
  const monotonic_time now = context_.Now();
  for (const platform_instance& each : reply.instances) {
    if (each.leaving) continue;
    if (each.data_centre != context_.Settings().data_centre) continue;
    membership_.OnHint(each.identity, each.peers, now);
  }
  Flush();
}

void membership_component::OnControlMessage(const instance_identity& from,
                                            const control_message& message) {
  membership_.OnMessage(from, message, context_.Now());
  Flush();
}

void membership_component::OnPeerLink(const peer_link_event& event) {
  membership_.OnPeerLink(event, context_.Now());
  Flush();
}

void membership_component::OnObject(const versioned_object& object) {
  const std::string& own = context_.Settings().data_centre;
  if (object.key.kind != object_kind::kRoster || object.key.name != own) return;
  for (const roster& each : context_.View().rosters) {
    if (each.data_centre != own) continue;
    for (const roster_member& listed : each.members) {
      membership_.OnHint(listed.identity, listed.peers, context_.Now());
    }
  }
  Flush();
}

void membership_component::OnDrain(const std::function<void()>& done) {
  membership_.Leave(context_.Now());
  Flush();
  done();
}

void membership_component::Flush() {
  PerformPeerActions(membership_.TakeActions(), context_);
  if (!membership_.TakeChanged()) return;
  const std::vector<member> members = membership_.Members();
  const auto alive = std::count_if(
      members.begin(), members.end(),
      [](const member& each) { return each.state == member_state::kAlive; });
  context_.Metrics().Set(gauge_metric::kMembersAlive,
                         context_.Settings().data_centre,
                         static_cast<double>(alive) + 1);
  context_.SetMembers(members);
  TerminateIfSuperseded();
}

// Two processes must not act under the same name. The newer process keeps the
// name, and the older one shuts down as if it had received SIGTERM.
void membership_component::TerminateIfSuperseded() {
  if (!membership_.IsSuperseded() || termination_requested_) return;
  termination_requested_ = true;
  LOG(ERROR) << "event=superseded instance=" << context_.Self().name
             << " reason=a newer process has this name;"
             << " remedy=give each instance its own name";
  kill(getpid(), SIGTERM);
}

void membership_component::Describe(nlohmann::json& status) const {
  nlohmann::json members = nlohmann::json::array();
  const monotonic_time now = context_.Now();
  for (const member& each : context_.Members()) {
    members.push_back(
        {{"name", each.identity.name},
         {"incarnation", each.identity.incarnation},
         {"state", MemberStateName(each.state)},
         {"since_ms",
          std::chrono::duration_cast<milliseconds>(now - each.since).count()}});
  }
  status["members"] = std::move(members);
}

}  // namespace papayaglade
