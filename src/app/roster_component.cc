#include "app/roster_component.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "protocol/configuration_codec.h"

namespace papayaglade {

namespace {

stewardship_timing TimingOf(const coordination_settings& settings) {
  stewardship_timing timing;
  timing.lease = settings.lease_duration;
  timing.max_request_time = settings.max_request_duration;
  return timing;
}

roster_member SelfOf(const control_context& context) {
  const instance_settings& settings = context.Settings();
  return {context.Self(), settings.peers, settings.operators, 0};
}

}  // namespace

roster_component::roster_component(control_context& context)
    : context_(context),
      stewardship_(SelfOf(context), context.Settings().data_centre,
                   TimingOf(context.Settings().coordination),
                   context.Self().incarnation) {}

void roster_component::OnTick(monotonic_time now) {
  FlushQueuedEvents();
  stewardship_.OnTick(now);
  PerformActions();
}

void roster_component::OnControlMessage(const instance_identity& from,
                                        const control_message& message) {
  stewardship_.OnMessage(from, message, context_.Now());
  PerformActions();
}

void roster_component::OnMembersChanged() {
  stewardship_.SetMembers(context_.Members(), context_.Now());
  PerformActions();
}

void roster_component::OnObject(const versioned_object& object) {
  if (object.key.kind == object_kind::kConfiguration) UpdateUpstreams();
  if (object.key.kind != object_kind::kRoster) return;
  for (const roster& each : context_.View().rosters) {
    if (each.data_centre != object.key.name) continue;
    for (const roster_member& listed : each.members) {
      if (listed.identity.name == context_.Self().name) continue;
      context_.Peers().SetAddress(listed.identity, listed.peers);
    }
    if (each.data_centre != context_.Settings().data_centre) continue;
    offered_epoch_ = std::max(offered_epoch_, each.epoch);
    stewardship_.OnRoster(each, context_.Now());
  }
  PerformActions();
}

void roster_component::UpdateUpstreams() {
  const configuration& config = *context_.View().config;
  std::vector<assignable_upstream> upstreams;
  for (const service_definition& service : config.services) {
    for (const upstream_definition& upstream : service.upstreams) {
      if (upstream.data_centre != context_.Settings().data_centre) continue;
      upstreams.push_back({service.name, upstream.name});
    }
  }
  stewardship_.SetUpstreams(config.version, std::move(upstreams));
}

void roster_component::OnHandover(const handover_event& event) {
  stewardship_.OnReleased(event.epoch, event.upstreams, context_.Now());
  PerformActions();
}

void roster_component::OnDrain(const std::function<void()>& done) {
  on_drained_ = done;
  stewardship_.Leave(context_.Now());
  PerformActions();
}

void roster_component::PerformActions() {
  for (stewardship_action& action : stewardship_.TakeActions()) {
    std::visit([this](auto& each) { Perform(each); }, action);
  }
  OfferNewestRoster();
}

void roster_component::Perform(send_control& action) {
  context_.Send(action.peer, std::move(action.message));
}

void roster_component::Perform(read_roster& /*action*/) {
  const monotonic_time sent = context_.Now();
  context_.CallPlatform(platform_get{ObjectKindName(object_kind::kRoster),
                                     context_.Settings().data_centre},
                        [this, sent](const platform_reply& reply) {
                          stewardship_.OnRosterRead(ToRosterAnswer(reply, sent),
                                                    context_.Now());
                          PerformActions();
                        });
}

void roster_component::Perform(write_roster& action) {
  const monotonic_time sent = context_.Now();
  context_.CallPlatform(
      platform_put{ObjectKindName(object_kind::kRoster),
                   context_.Settings().data_centre, action.expected_version,
                   FormatRoster(action.next)},
      [this, sent, next = action.next](const platform_reply& reply) {
        roster_answer answer = ToRosterAnswer(reply, sent);
        if (answer.status == platform_status::kOk) answer.stored = next;
        stewardship_.OnRosterWritten(answer, context_.Now());
        PerformActions();
      });
}

void roster_component::Perform(standing_update& action) {
  QueueForStewards(std::move(action));
}

// The stewards worker replies on its own thread, so the reply is posted to the
// ring of the control worker.
void roster_component::Perform(release_upstreams& action) {
  handover_request request;
  request.upstreams = std::move(action.upstreams);
  request.reply = [this, epoch = action.epoch](std::vector<handover> states) {
    context_.PostToControl(handover_event{std::move(states), epoch});
  };
  QueueForStewards(std::move(request));
}

void roster_component::Perform(handover_event& action) {
  QueueForStewards(std::move(action));
}

void roster_component::Perform(leave_finished& /*action*/) {
  if (on_drained_) std::exchange(on_drained_, nullptr)();
}

// Events to the stewards worker must stay in order: the release of an upstream
// must arrive before the standing update that no longer contains it.
void roster_component::QueueForStewards(steward_event event) {
  queued_events_.push_back(std::move(event));
  FlushQueuedEvents();
}

void roster_component::FlushQueuedEvents() {
  while (!queued_events_.empty() &&
         context_.SendToStewards(queued_events_.front())) {
    queued_events_.pop_front();
  }
}

roster_answer roster_component::ToRosterAnswer(const platform_reply& reply,
                                               monotonic_time sent) const {
  roster_answer answer;
  answer.status = reply.status;
  answer.sent = sent;
  if (reply.objects.empty()) return answer;
  const platform_object& object = reply.objects.front();
  answer.version = object.version;
  if (!object.value.empty()) {
    answer.stored = ParseRoster(context_.Settings().data_centre, object.value);
  }
  return answer;
}

void roster_component::OfferNewestRoster() {
  const roster& newest = stewardship_.NewestRoster();
  if (newest.epoch <= offered_epoch_) return;
  offered_epoch_ = newest.epoch;
  context_.Offer({{object_kind::kRoster, newest.data_centre},
                  newest.epoch,
                  FormatRoster(newest)});
}

void roster_component::Describe(nlohmann::json& status) const {
  const standing_update& standing = stewardship_.Standing();
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
      standing.proven_until - context_.Now());
  status["stewardship"] = {
      {"roster_epoch", standing.roster_epoch},
      {"proven", left.count() > 0},
      {"lease_left_ms", std::max<std::int64_t>(0, left.count())},
      {"steward_of", standing.upstreams},
      {"fenced", standing.fenced}};
}

}  // namespace papayaglade
