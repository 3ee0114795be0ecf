#include "app/control_duty.h"

#include <algorithm>
#include <utility>

#include "protocol/configuration_codec.h"

namespace papayaglade {

namespace {

constexpr std::chrono::milliseconds kTickPeriod{200};

}  // namespace

control_duty::control_duty(const instance_settings& settings,
                           const instance_identity& self, timer_service& timer,
                           peer_port& peers, platform_port& platform,
                           router_ring& router, steward_ring& stewards,
                           readiness_port& readiness, metrics_sink& metrics,
                           control_ring& inbox)
    : settings_(settings),
      self_(self),
      timer_(timer),
      peers_(peers),
      platform_(platform),
      router_(router),
      stewards_(stewards),
      readiness_(readiness),
      metrics_(metrics),
      inbox_(inbox) {}

control_duty::~control_duty() { Stop(); }

void control_duty::Start() {
  subscription_ = timer_.Subscribe(
      kTickPeriod, [this](monotonic_time now) { inbox_.TryPush(tick{now}); });
  thread_.Start("control", [this] { Run(); });
}

void control_duty::Stop() {
  timer_.Cancel(subscription_);
  inbox_.Close();
  thread_.Join();
}

void control_duty::Run() {
  control_duty_event event;
  while (inbox_.Pop(event)) {
    std::visit([this](auto& each) { Handle(each); }, event);
  }
}

void control_duty::Handle(tick& /*event*/) {
  for (const char* kind : {"configuration", "snapshots", "roster", "order"}) {
    const std::uint64_t call = ++last_call_;
    kind_of_call_[call] = kind;
    platform_.CallFromControl(
        {call, platform_list{kind}, settings_.platform_timeout});
  }
}

void control_duty::Handle(control_event& /*event*/) {}

void control_duty::Handle(peer_link_event& /*event*/) {}

void control_duty::Handle(platform_event& event) {
  const auto call = kind_of_call_.find(event.reply.call_id);
  if (call == kind_of_call_.end()) return;
  const std::string kind = call->second;
  kind_of_call_.erase(call);
  if (event.reply.status != platform_status::kOk) return;
  if (kind == "configuration" && !event.reply.objects.empty()) {
    auto parsed = ParseConfiguration(event.reply.objects.front().value);
    if (parsed.has_value()) {
      view_.config = std::make_shared<const configuration>(*parsed);
    }
  }
  if (kind == "snapshots") {
    view_.snapshots.clear();
    for (const platform_object& object : event.reply.objects) {
      auto parsed = ParseSnapshots(object.name, object.value);
      if (parsed.has_value()) view_.snapshots.push_back(*parsed);
    }
  }
  if (kind == "roster") OnRosters(event.reply);
  Publish();
}

void control_duty::OnRosters(const platform_reply& reply) {
  view_.rosters.clear();
  roster own;
  own.data_centre = settings_.data_centre;
  std::uint64_t own_version = 0;
  for (const platform_object& object : reply.objects) {
    auto parsed = ParseRoster(object.name, object.value);
    if (!parsed.has_value()) continue;
    if (object.name == settings_.data_centre) {
      own = *parsed;
      own_version = object.version;
    }
    for (const roster_member& member : parsed->members) {
      if (member.identity == self_) continue;
      peers_.SetAddress(member.identity, member.peers);
    }
    view_.rosters.push_back(*std::move(parsed));
  }
  if (view_.config == nullptr) return;
  std::vector<std::string> upstreams;
  for (const service_definition& service : view_.config->services) {
    for (const upstream_definition& upstream : service.upstreams) {
      if (upstream.data_centre == settings_.data_centre) {
        upstreams.push_back(upstream.name);
      }
    }
  }
  const bool member = std::any_of(
      own.members.begin(), own.members.end(),
      [this](const roster_member& each) { return each.identity == self_; });
  if (member && own.assignments.size() == upstreams.size()) return;
  own.members.erase(std::remove_if(own.members.begin(), own.members.end(),
                                   [this](const roster_member& each) {
                                     return each.identity.name == self_.name;
                                   }),
                    own.members.end());
  own.members.push_back({self_, settings_.peers, settings_.operators});
  own.assignments.clear();
  for (std::size_t i = 0; i < upstreams.size(); ++i) {
    own.assignments.push_back(
        {upstreams[i], own.members[i % own.members.size()].identity.name});
  }
  own.epoch = own_version + 1;
  platform_.CallFromControl({++last_call_,
                             platform_put{"roster", settings_.data_centre,
                                          own_version, FormatRoster(own)},
                             settings_.platform_timeout});
}

void control_duty::Handle(order_event& event) { event.reply("{}"); }

void control_duty::Handle(status_query& event) { event.reply("{}"); }

void control_duty::Handle(handover_event& /*event*/) {}

void control_duty::Handle(drain_event& event) { event.done(); }

void control_duty::Publish() {
  if (view_.config != nullptr) {
    metrics_.Set(gauge_metric::kConfiguration, "version",
                 static_cast<double>(view_.config->version));
  }
  view_.ready = view_.config != nullptr && !view_.rosters.empty();
  readiness_.SetReady(view_.ready, "no configuration or roster yet");
  const auto view = std::make_shared<const cluster_view>(view_);
  router_.TryPush(view_update{view});
  stewards_.TryPush(view_update{view});
}

}  // namespace papayaglade
