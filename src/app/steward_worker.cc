#include "app/steward_worker.h"

#include <algorithm>
#include <set>
#include <utility>

#include "protocol/upstream_codec.h"
#include "protocol/upstream_state_codec.h"

namespace papayaglade {

namespace {

// Requests still in flight after a handover occupy slots at the next steward
// until their deadline, because only the old steward sees them end. So a
// handover waits this long for them.
constexpr std::chrono::milliseconds kHandoverTimeout{100};
constexpr std::chrono::milliseconds kTickInterval{5};
constexpr std::chrono::milliseconds kMetricsInterval{1000};
// Results are sent at the end of a wake-up, so the number of events is limited
// for a wake-up to end under load.
constexpr int kMaxEventsPerWakeUp = 256;

// Returns the flow of a batch: one caller at one entry instance. The flows of a
// class take turns for the slots.
std::uint64_t FlowOf(const shard_batch& batch) {
  return std::hash<std::string>()(batch.caller) ^ batch.origin.incarnation;
}

std::chrono::milliseconds MaxDeadline(const service_definition& service) {
  std::chrono::milliseconds max_deadline{0};
  for (const workload& each : service.workloads) {
    max_deadline = std::max(max_deadline, each.deadline);
  }
  return max_deadline;
}

}  // namespace

steward_worker::served_upstream::served_upstream(
    const upstream_definition& definition, std::uint64_t number,
    steward_worker& worker)
    : adapter(number, worker.timer_, worker.upstreams_, worker.results_),
      dispatcher(definition, {}, worker.standing_, adapter,
                 worker.self_.incarnation + number) {}

steward_worker::steward_worker(const instance_settings& settings,
                               const instance_identity& self,
                               timer_service& timer, peer_port& peers,
                               upstream_port& upstreams, router_ring& router,
                               metrics_sink& metrics, steward_ring& inbox)
    : settings_(settings),
      self_(self),
      timer_(timer),
      upstreams_(upstreams),
      metrics_(metrics),
      inbox_(inbox),
      results_(self, peers, router) {}

steward_worker::~steward_worker() { Stop(); }

void steward_worker::Start() {
  subscription_ = timer_.Subscribe(
      kTickInterval, [this](monotonic_time now) { inbox_.TryPush(tick{now}); });
  thread_.Start("stewards", [this] {
    while (RunOnce()) {
    }
  });
}

void steward_worker::Stop() {
  timer_.Cancel(subscription_);
  inbox_.Close();
  thread_.Join();
}

bool steward_worker::RunOnce() {
  steward_event event;
  if (!inbox_.Pop(event)) return false;
  Dispatch(event);
  for (int i = 1; i < kMaxEventsPerWakeUp && inbox_.TryPop(event); ++i) {
    Dispatch(event);
  }
  results_.Flush();
  FinishHandovers();
  FinishDrains();
  return true;
}

void steward_worker::Dispatch(steward_event& event) {
  std::visit([this](auto& each) { Handle(each); }, event);
}

void steward_worker::Handle(tick& event) {
  for (const auto& each : served_) each->dispatcher.OnTick();
  if (event.now >= next_metrics_time_) ReportMetrics(event.now);
}

void steward_worker::Handle(view_update& event) {
  const cluster_view& view = *event.view;
  if (view.config == nullptr) return;
  for (const service_definition& service : view.config->services) {
    const auto max_deadline = MaxDeadline(service);
    for (const upstream_definition& upstream : service.upstreams) {
      const bool is_local = upstream.data_centre == settings_.data_centre;
      if (is_local) AddOrUpdateUpstream(upstream, max_deadline);
    }
  }
  const bool out = std::any_of(view.orders.begin(), view.orders.end(),
                               [this](const data_centre_order& order) {
                                 return order.out && order.data_centre ==
                                                         settings_.data_centre;
                               });
  for (const auto& each : served_) each->dispatcher.SetDataCentreOut(out);
}

void steward_worker::Handle(standing_update& event) {
  standing_.Update(event);
  for (const auto& each : served_) each->dispatcher.OnStandingChanged();
}

void steward_worker::Handle(batch_event& event) {
  const std::uint64_t flow = FlowOf(event.batch);
  const auto batch =
      std::make_shared<const shard_batch>(std::move(event.batch));
  std::vector<upstream_dispatcher*> touched;
  for (std::size_t i = 0; i < batch->attempts.size(); ++i) {
    queued_attempt attempt{batch, i, event.deadline, {}, flow};
    upstream_dispatcher* const owner = FindByName(batch->attempts[i].upstream);
    if (owner == nullptr) {
      shard_result refusal;
      refusal.attempt_id = batch->attempts[i].attempt_id;
      refusal.status = shard_status::kNotRun;
      refusal.reason = shard_reason::kNotSteward;
      results_.Add(batch->origin, std::move(refusal));
      continue;
    }
    owner->Enqueue(std::move(attempt));
    const bool seen =
        std::find(touched.begin(), touched.end(), owner) != touched.end();
    if (!seen) touched.push_back(owner);
  }
  for (upstream_dispatcher* const each : touched) each->DispatchQueued();
}

void steward_worker::Handle(cancel_event& event) {
  std::vector<attempt_key> keys;
  keys.reserve(event.cancel.attempt_ids.size());
  for (const std::uint64_t attempt_id : event.cancel.attempt_ids) {
    keys.push_back({event.cancel.origin.incarnation, attempt_id});
  }
  std::sort(keys.begin(), keys.end());
  for (const auto& each : served_) {
    each->dispatcher.Cancel(keys);
    each->dispatcher.DispatchQueued();
  }
}

void steward_worker::Handle(connection_opened& event) {
  upstream_dispatcher* const owner = FindById(event.connection_id);
  if (owner != nullptr) owner->OnOpened(event.connection_id);
}

void steward_worker::Handle(connection_failed& event) {
  upstream_dispatcher* const owner = FindById(event.connection_id);
  if (owner != nullptr) owner->OnFailed(event);
}

void steward_worker::Handle(exchange_reply& event) {
  upstream_dispatcher* const owner = FindById(event.connection_id);
  if (owner == nullptr) return;
  const auto kind = owner->KindOf(event.exchange_id);
  if (!kind.has_value()) return;
  switch (*kind) {
    case exchange_kind::kWork:
      return owner->OnWorkReply(event,
                                ParseUpstreamReply(event.status, event.body));
    case exchange_kind::kHealth:
      return owner->OnHealthReply(event,
                                  ParseHealthReply(event.status, event.body));
    case exchange_kind::kCancel:
      break;
  }
  const auto names = ParseUpstreamCancelReply(event.status, event.body);
  const std::set<std::string> ended(names.begin(), names.end());
  std::vector<attempt_key> keys;
  for (const queued_attempt& each : owner->CancelledBy(event.exchange_id)) {
    const std::string name =
        AttemptName(each.batch->origin, each.Attempt().attempt_id);
    if (ended.count(name) != 0) keys.push_back(each.Key());
  }
  owner->OnCancelReply(event, keys);
}

void steward_worker::Handle(handover_event& event) {
  for (const handover& each : event.upstreams) {
    upstream_dispatcher* const adopter = FindByName(each.upstream);
    const auto state = ParseUpstreamState(each.state);
    if (adopter != nullptr && state.has_value()) adopter->ImportState(*state);
  }
}

void steward_worker::Handle(handover_request& event) {
  pending_handover pending;
  for (const auto& each : served_) {
    const std::string& name = each->dispatcher.Definition().name;
    const bool asked =
        event.upstreams.empty() ||
        std::count(event.upstreams.begin(), event.upstreams.end(), name) != 0;
    if (!asked || !standing_.IsSteward(name)) continue;
    each->dispatcher.Release();
    pending.upstreams.push_back(&each->dispatcher);
  }
  pending.reply = std::move(event.reply);
  pending.until = timer_.Now() + kHandoverTimeout;
  pending_handovers_.push_back(std::move(pending));
}

void steward_worker::FinishHandovers() {
  const monotonic_time now = timer_.Now();
  const auto is_ready = [now](const pending_handover& each) {
    const bool ended =
        std::all_of(each.upstreams.begin(), each.upstreams.end(),
                    [](const auto* one) { return one->IsIdle(); });
    return ended || now >= each.until;
  };
  const auto last = std::stable_partition(
      pending_handovers_.begin(), pending_handovers_.end(),
      [&is_ready](const auto& each) { return !is_ready(each); });
  std::vector<pending_handover> ready(
      std::make_move_iterator(last),
      std::make_move_iterator(pending_handovers_.end()));
  pending_handovers_.erase(last, pending_handovers_.end());
  for (const pending_handover& each : ready) {
    std::vector<handover> states;
    states.reserve(each.upstreams.size());
    for (const upstream_dispatcher* one : each.upstreams) {
      states.push_back(
          {one->Definition().name, FormatUpstreamState(one->ReleasedState())});
    }
    each.reply(std::move(states));
  }
}

void steward_worker::Handle(peer_link_event& /*event*/) {}

void steward_worker::Handle(status_query& event) {
  std::vector<upstream_report> upstreams;
  for (const auto& each : served_) {
    const bool ours = standing_.IsSteward(each->dispatcher.Definition().name);
    if (ours) upstreams.push_back(Report(each->dispatcher));
  }
  event.reply(FormatStewardStatus(standing_, timer_.Now(), upstreams));
}

void steward_worker::Handle(drain_event& event) {
  drain_callbacks_.push_back(std::move(event.done));
}

void steward_worker::AddOrUpdateUpstream(
    const upstream_definition& definition,
    std::chrono::milliseconds max_request_deadline) {
  const request_bounds bounds{settings_.coordination.max_request_duration,
                              max_request_deadline};
  upstream_dispatcher* const known = FindByName(definition.name);
  if (known != nullptr) {
    known->SetRequestBounds(bounds);
    return known->SetDefinition(definition);
  }
  index_by_name_[definition.name] = served_.size();
  served_.push_back(
      std::make_unique<served_upstream>(definition, served_.size(), *this));
  served_.back()->dispatcher.SetRequestBounds(bounds);
  served_.back()->dispatcher.OnStandingChanged();
}

upstream_dispatcher* steward_worker::FindByName(const std::string& upstream) {
  const auto found = index_by_name_.find(upstream);
  if (found == index_by_name_.end()) return nullptr;
  return &served_[found->second]->dispatcher;
}

upstream_dispatcher* steward_worker::FindById(std::uint64_t id) {
  const std::uint64_t number = dispatch_adapter::UpstreamNumberOf(id);
  if (number >= served_.size()) return nullptr;
  return &served_[number]->dispatcher;
}

upstream_report steward_worker::Report(
    const upstream_dispatcher& dispatcher) const {
  const upstream_definition& definition = dispatcher.Definition();
  return {definition.name, definition.limits, dispatcher.Summary()};
}

void steward_worker::ReportMetrics(monotonic_time now) {
  next_metrics_time_ = now + kMetricsInterval;
  for (const auto& each : served_) {
    const std::string& name = each->dispatcher.Definition().name;
    const dispatch_counts counts = each->adapter.TakeCounts();
    if (!standing_.IsSteward(name)) continue;
    ReportUpstream(metrics_, Report(each->dispatcher), counts);
  }
  for (const request_class priority :
       {request_class::kCounter, request_class::kFull,
        request_class::kArchive}) {
    std::size_t waiting = 0;
    for (const auto& each : served_) {
      waiting += each->dispatcher.CountQueued(priority);
    }
    metrics_.Set(gauge_metric::kQueueLength, RequestClassName(priority),
                 static_cast<double>(waiting));
  }
}

void steward_worker::FinishDrains() {
  if (drain_callbacks_.empty()) return;
  const bool idle =
      std::all_of(served_.begin(), served_.end(),
                  [](const auto& each) { return each->dispatcher.IsIdle(); });
  if (!idle || !results_.Empty()) return;
  for (const std::function<void()>& done : std::exchange(drain_callbacks_, {}))
    done();
}

}  // namespace papayaglade
