#include "app/steward_duty.h"

#include <algorithm>
#include <set>
#include <utility>

#include "protocol/upstream_codec.h"
#include "protocol/upstream_state_codec.h"

namespace papayaglade {

namespace {

// What is in flight at a hand-over holds the next steward's slots until its
// deadline, because only this one sees it end.
constexpr std::chrono::milliseconds kHandoverWait{100};
constexpr std::chrono::milliseconds kTickPeriod{5};
constexpr std::chrono::milliseconds kMetricsPeriod{1000};
// Results wait for the end of a wake-up, so a wake-up must end under load.
constexpr int kEventsPerWakeUp = 256;

std::uint64_t FlowOf(const shard_batch& batch) {
  return std::hash<std::string>()(batch.caller) ^ batch.origin.incarnation;
}

std::chrono::milliseconds LongestDeadline(const service_definition& service) {
  std::chrono::milliseconds longest{0};
  for (const workload& each : service.workloads) {
    longest = std::max(longest, each.deadline);
  }
  return longest;
}

}  // namespace

steward_duty::served_upstream::served_upstream(
    const upstream_definition& definition, std::uint64_t number,
    steward_duty& duty)
    : outlet(number, duty.timer_, duty.upstreams_, duty.results_),
      dispatcher(definition, {}, duty.standing_, outlet,
                 duty.self_.incarnation + number) {}

steward_duty::steward_duty(const instance_settings& settings,
                           const instance_identity& self, timer_service& timer,
                           peer_port& peers, upstream_port& upstreams,
                           router_ring& router, metrics_sink& metrics,
                           steward_ring& inbox)
    : settings_(settings),
      self_(self),
      timer_(timer),
      upstreams_(upstreams),
      metrics_(metrics),
      inbox_(inbox),
      results_(self, peers, router) {}

steward_duty::~steward_duty() { Stop(); }

void steward_duty::Start() {
  subscription_ = timer_.Subscribe(
      kTickPeriod, [this](monotonic_time now) { inbox_.TryPush(tick{now}); });
  thread_.Start("stewards", [this] {
    while (RunOnce()) {
    }
  });
}

void steward_duty::Stop() {
  timer_.Cancel(subscription_);
  inbox_.Close();
  thread_.Join();
}

bool steward_duty::RunOnce() {
  steward_event event;
  if (!inbox_.Pop(event)) return false;
  HandleAll(event);
  for (int i = 1; i < kEventsPerWakeUp && inbox_.TryPop(event); ++i) {
    HandleAll(event);
  }
  results_.Flush();
  FinishHandovers();
  FinishDrains();
  return true;
}

void steward_duty::HandleAll(steward_event& event) {
  std::visit([this](auto& each) { Handle(each); }, event);
}

void steward_duty::Handle(tick& event) {
  for (const auto& each : served_) each->dispatcher.OnTick();
  if (event.now >= metrics_due_) ReportMetrics(event.now);
}

void steward_duty::Handle(view_update& event) {
  const cluster_view& view = *event.view;
  if (view.config == nullptr) return;
  for (const service_definition& service : view.config->services) {
    const auto longest = LongestDeadline(service);
    for (const upstream_definition& upstream : service.upstreams) {
      const bool near = upstream.data_centre == settings_.data_centre;
      if (near) Serve(upstream, longest);
    }
  }
  const bool out = std::any_of(view.orders.begin(), view.orders.end(),
                               [this](const data_centre_order& order) {
                                 return order.out && order.data_centre ==
                                                         settings_.data_centre;
                               });
  for (const auto& each : served_) each->dispatcher.SetDataCentreOut(out);
}

void steward_duty::Handle(standing_update& event) {
  standing_.Update(event);
  for (const auto& each : served_) each->dispatcher.OnStandingChanged();
}

void steward_duty::Handle(batch_event& event) {
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
  for (upstream_dispatcher* const each : touched) each->Pump();
}

void steward_duty::Handle(cancel_event& event) {
  std::vector<attempt_key> keys;
  keys.reserve(event.cancel.attempt_ids.size());
  for (const std::uint64_t attempt_id : event.cancel.attempt_ids) {
    keys.push_back({event.cancel.origin.incarnation, attempt_id});
  }
  std::sort(keys.begin(), keys.end());
  for (const auto& each : served_) {
    each->dispatcher.Cancel(keys);
    each->dispatcher.Pump();
  }
}

void steward_duty::Handle(connection_opened& event) {
  upstream_dispatcher* const owner = FindById(event.connection_id);
  if (owner != nullptr) owner->OnOpened(event.connection_id);
}

void steward_duty::Handle(connection_failed& event) {
  upstream_dispatcher* const owner = FindById(event.connection_id);
  if (owner != nullptr) owner->OnFailed(event);
}

void steward_duty::Handle(exchange_reply& event) {
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

void steward_duty::Handle(handover_event& event) {
  for (const handover& each : event.upstreams) {
    upstream_dispatcher* const adopter = FindByName(each.upstream);
    const auto state = ParseUpstreamState(each.state);
    if (adopter != nullptr && state.has_value()) adopter->Adopt(*state);
  }
}

void steward_duty::Handle(handover_request& event) {
  pending_handover pending;
  for (const auto& each : served_) {
    const std::string& name = each->dispatcher.Definition().name;
    const bool asked =
        event.upstreams.empty() ||
        std::count(event.upstreams.begin(), event.upstreams.end(), name) != 0;
    if (!asked || !standing_.Holds(name)) continue;
    each->dispatcher.Release();
    pending.upstreams.push_back(&each->dispatcher);
  }
  pending.reply = std::move(event.reply);
  pending.until = timer_.Now() + kHandoverWait;
  handovers_.push_back(std::move(pending));
}

void steward_duty::FinishHandovers() {
  const monotonic_time now = timer_.Now();
  const auto may_go = [now](const pending_handover& each) {
    const bool ended = std::all_of(each.upstreams.begin(), each.upstreams.end(),
                                   [](const auto* one) { return one->Idle(); });
    return ended || now >= each.until;
  };
  const auto last = std::stable_partition(
      handovers_.begin(), handovers_.end(),
      [&may_go](const auto& each) { return !may_go(each); });
  std::vector<pending_handover> ready(
      std::make_move_iterator(last), std::make_move_iterator(handovers_.end()));
  handovers_.erase(last, handovers_.end());
  for (const pending_handover& each : ready) {
    std::vector<handover> states;
    states.reserve(each.upstreams.size());
    for (const upstream_dispatcher* one : each.upstreams) {
      states.push_back(
          {one->Definition().name, FormatUpstreamState(one->Released())});
    }
    each.reply(std::move(states));
  }
}

void steward_duty::Handle(peer_link_event& /*event*/) {}

void steward_duty::Handle(status_query& event) {
  std::vector<upstream_report> upstreams;
  for (const auto& each : served_) {
    const bool ours = standing_.Holds(each->dispatcher.Definition().name);
    if (ours) upstreams.push_back(Report(each->dispatcher));
  }
  event.reply(FormatStewardStatus(standing_, timer_.Now(), upstreams));
}

void steward_duty::Handle(drain_event& event) {
  drains_.push_back(std::move(event.done));
}

void steward_duty::Serve(const upstream_definition& definition,
                         std::chrono::milliseconds longest_request) {
  const request_bounds bounds{settings_.coordination.max_request_duration,
                              longest_request};
  upstream_dispatcher* const known = FindByName(definition.name);
  if (known != nullptr) {
    known->SetRequestBounds(bounds);
    return known->SetDefinition(definition);
  }
  number_of_[definition.name] = served_.size();
  served_.push_back(
      std::make_unique<served_upstream>(definition, served_.size(), *this));
  served_.back()->dispatcher.SetRequestBounds(bounds);
  served_.back()->dispatcher.OnStandingChanged();
}

upstream_dispatcher* steward_duty::FindByName(const std::string& upstream) {
  const auto found = number_of_.find(upstream);
  if (found == number_of_.end()) return nullptr;
  return &served_[found->second]->dispatcher;
}

upstream_dispatcher* steward_duty::FindById(std::uint64_t id) {
  const std::uint64_t number = dispatch_outlet::NumberOf(id);
  if (number >= served_.size()) return nullptr;
  return &served_[number]->dispatcher;
}

upstream_report steward_duty::Report(
    const upstream_dispatcher& dispatcher) const {
  const upstream_definition& definition = dispatcher.Definition();
  return {definition.name, definition.limits, dispatcher.Summary()};
}

void steward_duty::ReportMetrics(monotonic_time now) {
  metrics_due_ = now + kMetricsPeriod;
  for (const auto& each : served_) {
    const std::string& name = each->dispatcher.Definition().name;
    const dispatch_counts counts = each->outlet.TakeCounts();
    if (!standing_.Holds(name)) continue;
    ReportUpstream(metrics_, Report(each->dispatcher), counts);
  }
  for (const request_class priority :
       {request_class::kCounter, request_class::kFull,
        request_class::kArchive}) {
    std::size_t waiting = 0;
    for (const auto& each : served_) {
      waiting += each->dispatcher.Queued(priority);
    }
    metrics_.Set(gauge_metric::kQueueLength, RequestClassName(priority),
                 static_cast<double>(waiting));
  }
}

void steward_duty::FinishDrains() {
  if (drains_.empty()) return;
  const bool idle =
      std::all_of(served_.begin(), served_.end(),
                  [](const auto& each) { return each->dispatcher.Idle(); });
  if (!idle || !results_.Empty()) return;
  for (const std::function<void()>& done : std::exchange(drains_, {})) done();
}

}  // namespace papayaglade
