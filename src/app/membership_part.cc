#include "app/membership_part.h"

#include <glog/logging.h>
#include <signal.h>
#include <unistd.h>

#include <algorithm>
#include <nlohmann/json.hpp>

#include "app/peer_actions.h"

namespace papayaglade {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kFirstListWait{2000};
constexpr milliseconds kLongestListWait{120000};
constexpr milliseconds kSeedPeriod{2000};

membership_settings TimesOf(const coordination_settings& settings) {
  return {settings.probe_interval, settings.probe_timeout,
          settings.suspicion_timeout};
}

bool AnyoneAlive(const std::vector<member>& members) {
  return std::any_of(members.begin(), members.end(), [](const member& each) {
    return each.state == member_state::kAlive;
  });
}

}  // namespace

membership_part::membership_part(control_context& context)
    : context_(context),
      random_(context.Self().incarnation),
      membership_({context.Self(), context.Settings().peers,
                   member_state::kAlive, 0, context.Settings().operators},
                  context.Settings().data_centre,
                  TimesOf(context.Settings().coordination),
                  context.Self().incarnation),
      list_wait_(kFirstListWait, kLongestListWait) {}

void membership_part::OnTick(monotonic_time now) {
  if (now >= next_seeds_) HintSeeds(now);
  if (now >= next_list_ && !listing_) AskInstanceList(now);
  membership_.SetVersions(context_.VersionSummary());
  membership_.OnTick(now);
  Flush();
}

// Seeds are for a start while the platform is out; whoever is found through
// them knows the rest.
void membership_part::HintSeeds(monotonic_time now) {
  next_seeds_ = now + kSeedPeriod;
  if (AnyoneAlive(context_.Members())) return;
  for (const seed_peer& each : context_.Settings().seeds) {
    membership_.OnHint({each.name, 0}, each.peers, now);
  }
}

void membership_part::AskInstanceList(monotonic_time now) {
  listing_ = true;
  next_list_ = now + list_wait_.Next(random_);
  context_.CallPlatform(
      platform_list_instances{},
      [this](const platform_reply& reply) { OnInstanceList(reply); });
}

void membership_part::OnInstanceList(const platform_reply& reply) {
  listing_ = false;
  const monotonic_time now = context_.Now();
  for (const platform_instance& each : reply.instances) {
    if (each.leaving) continue;
    if (each.data_centre != context_.Settings().data_centre) continue;
    membership_.OnHint(each.identity, each.peers, now);
  }
  Flush();
}

void membership_part::OnControlMessage(const instance_identity& from,
                                       const control_message& message) {
  membership_.OnMessage(from, message, context_.Now());
  Flush();
}

void membership_part::OnPeerLink(const peer_link_event& event) {
  membership_.OnPeerLink(event, context_.Now());
  Flush();
}

void membership_part::OnObject(const versioned_object& object) {
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

void membership_part::OnDrain(const std::function<void()>& done) {
  membership_.Leave(context_.Now());
  Flush();
  done();
}

void membership_part::Flush() {
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
  EndIfSuperseded();
}

// Two lives of one name must not both act for it, and the newer one has the
// name. The older one ends as if the platform had asked it to.
void membership_part::EndIfSuperseded() {
  if (!membership_.IsSuperseded() || ending_) return;
  ending_ = true;
  LOG(ERROR) << "event=superseded instance=" << context_.Self().name
             << " reason=a newer process has this name;"
             << " remedy=give each instance its own name";
  kill(getpid(), SIGTERM);
}

void membership_part::Describe(nlohmann::json& status) const {
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
