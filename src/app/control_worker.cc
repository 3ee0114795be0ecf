#include "app/control_worker.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "app/membership_component.h"
#include "app/order_component.h"
#include "app/roster_component.h"
#include "app/view_builder.h"
#include "app/view_status.h"

namespace papayaglade {

namespace {

constexpr std::chrono::milliseconds kTickInterval{50};

// Returns a function that calls `done` on its `expected_calls`-th call.
std::function<void()> CallAfterAll(std::size_t expected_calls,
                                   std::function<void()> done) {
  const auto remaining = std::make_shared<std::size_t>(expected_calls);
  return [remaining, done = std::move(done)] {
    if (--*remaining == 0) done();
  };
}

}  // namespace

control_worker::control_worker(const instance_settings& settings,
                               const instance_identity& self,
                               timer_service& timer, peer_port& peers,
                               platform_port& platform, router_ring& router,
                               steward_ring& stewards,
                               readiness_port& readiness, metrics_sink& metrics,
                               control_ring& inbox)
    : settings_(settings),
      self_(self),
      timer_(timer),
      peers_(peers),
      router_(router),
      stewards_(stewards),
      readiness_(readiness),
      metrics_(metrics),
      inbox_(inbox),
      platform_(platform, metrics,
                {settings.platform_timeout, settings.platform_calls_per_second},
                self.incarnation) {
  control_context& context = *this;
  auto gossip = std::make_unique<gossip_component>(
      context,
      [this](const versioned_object& object) { return Accept(object); });
  gossip_ = gossip.get();
  components_.push_back(std::move(gossip));
  components_.push_back(std::make_unique<membership_component>(context));
  components_.push_back(std::make_unique<roster_component>(context));
  components_.push_back(std::make_unique<order_component>(context));
}

control_worker::~control_worker() { Stop(); }

void control_worker::Start() {
  subscription_ = timer_.Subscribe(
      kTickInterval, [this](monotonic_time now) { inbox_.TryPush(tick{now}); });
  thread_.Start("control", [this] { Run(); });
}

void control_worker::Stop() {
  timer_.Cancel(subscription_);
  inbox_.Close();
  thread_.Join();
}

void control_worker::Run() {
  control_worker_event event;
  while (inbox_.Pop(event)) {
    std::visit([this](auto& each) { Handle(each); }, event);
    NotifyComponents();
    PublishIfChanged();
  }
}

void control_worker::Handle(tick& event) {
  platform_.OnTick(event.now);
  // Readiness depends on whether the platform is lost.
  if (IsPlatformLost() != platform_lost_) {
    platform_lost_ = IsPlatformLost();
    view_changed_ = true;
  }
  for (const auto& component : components_) component->OnTick(event.now);
}

void control_worker::Handle(control_event& event) {
  for (const auto& component : components_) {
    component->OnControlMessage(event.from, event.message);
  }
}

void control_worker::Handle(peer_link_event& event) {
  for (const auto& component : components_) component->OnPeerLink(event);
}

void control_worker::Handle(platform_event& event) {
  platform_.OnReply(event.reply, Now());
}

void control_worker::Handle(order_event& event) {
  for (const auto& component : components_) {
    if (component->OnOrder(event)) return;
  }
  event.reply(R"({"error":"orders are not served by this instance"})");
}

void control_worker::Handle(status_query& event) {
  nlohmann::json status = {{"instance", self_.name},
                           {"incarnation", self_.incarnation},
                           {"data_centre", settings_.data_centre}};
  status["ready"] = view_.ready;
  if (!view_.ready) status["not_ready_because"] = ReasonNotReady();
  DescribeView(view_, status);
  DescribePlatform(status);
  for (const auto& component : components_) component->Describe(status);
  event.reply(status.dump());
}

void control_worker::DescribePlatform(nlohmann::json& status) const {
  nlohmann::json& platform = status["platform"];
  platform["reachable"] = platform_.IsReachable();
  platform["calls"] = platform_.CallCount();
  const auto since = platform_.ReachableSince();
  if (!since.has_value()) return;
  platform["since_ms"] =
      std::chrono::duration_cast<std::chrono::milliseconds>(Now() - *since)
          .count();
}

void control_worker::Handle(handover_event& event) {
  for (const auto& component : components_) component->OnHandover(event);
}

void control_worker::Handle(drain_event& event) {
  draining_ = true;
  view_changed_ = true;
  PublishIfChanged();
  const auto done = CallAfterAll(components_.size(), event.done);
  for (const auto& component : components_) component->OnDrain(done);
}

bool control_worker::Send(const std::string& peer, control_message message) {
  return peers_.Send(peer, std::move(message));
}

bool control_worker::SendToStewards(steward_event event) {
  return stewards_.TryPush(std::move(event));
}

bool control_worker::PostToControl(control_worker_event event) {
  return inbox_.TryPush(std::move(event));
}

void control_worker::CallPlatform(platform_operation operation,
                                  platform_callback done) {
  platform_.Call(std::move(operation), std::move(done), Now());
}

void control_worker::SetMembers(std::vector<member> members) {
  members_ = std::move(members);
  members_changed_ = true;
}

bool control_worker::Offer(versioned_object object) {
  return gossip_->Offer(object);
}

bool control_worker::Accept(const versioned_object& object) {
  if (!PutIntoView(object, view_)) return false;
  view_changed_ = true;
  unannounced_objects_.push_back(object);
  if (object.key.kind == object_kind::kConfiguration) {
    metrics_.Set(gauge_metric::kConfiguration, "version",
                 static_cast<double>(object.version));
  }
  if (object.key.kind == object_kind::kRoster) {
    metrics_.Add(counter_metric::kRosterChanges, object.key.name, 1);
  }
  return true;
}

std::uint64_t control_worker::VersionSummary() const {
  return gossip_->VersionSummary();
}

// Loops because a component may offer objects or change members while it is
// notified.
void control_worker::NotifyComponents() {
  while (members_changed_ || !unannounced_objects_.empty()) {
    if (std::exchange(members_changed_, false)) {
      for (const auto& component : components_) component->OnMembersChanged();
    }
    if (unannounced_objects_.empty()) continue;
    const versioned_object object = std::move(unannounced_objects_.front());
    unannounced_objects_.pop_front();
    for (const auto& component : components_) component->OnObject(object);
  }
}

bool control_worker::IsPlatformLost() const {
  return platform_.ReachableSince().has_value() && !platform_.IsReachable();
}

std::string control_worker::ReasonNotReady() const {
  if (draining_) return "shutting down";
  if (view_.config == nullptr) return "no configuration yet";
  for (const data_centre_order& order : view_.orders) {
    if (order.out && order.data_centre == settings_.data_centre) {
      return "data centre is out";
    }
  }
  for (const roster& each : view_.rosters) {
    if (each.data_centre != settings_.data_centre) continue;
    const bool listed = std::any_of(each.members.begin(), each.members.end(),
                                    [this](const roster_member& roster_entry) {
                                      return roster_entry.identity == self_;
                                    });
    // No roster can change while the platform is lost. This instance cannot
    // become a steward then, but it can route requests by the roster of its
    // peers.
    if (listed || platform_lost_) return "";
  }
  return "not in the roster of its data centre yet";
}

void control_worker::PublishIfChanged() {
  if (!view_changed_) return;
  const std::string reason = ReasonNotReady();
  view_.ready = reason.empty();
  readiness_.SetReady(view_.ready, reason);
  const auto view = std::make_shared<const cluster_view>(view_);
  // If a ring is full, the view is published again after the next event.
  const bool routed = router_.TryPush(view_update{view});
  const bool stewarded = stewards_.TryPush(view_update{view});
  view_changed_ = !routed || !stewarded;
  if (!view_changed_ && view_.config != nullptr) readiness_.SetConfigured();
}

}  // namespace papayaglade
