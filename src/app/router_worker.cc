#include "app/router_worker.h"

#include <nlohmann/json.hpp>
#include <random>
#include <utility>

#include "app/unanswered_log.h"
#include "coordination/shutdown_plan.h"
#include "state/batch_refusal.h"

namespace papayaglade {

namespace {

// The router wakes up at the due times of the engine; ticks only limit how long
// an idle router sleeps.
constexpr std::chrono::milliseconds kTickInterval{100};

std::chrono::microseconds MicrosecondsSince(monotonic_time start,
                                            monotonic_time now) {
  return std::chrono::duration_cast<std::chrono::microseconds>(now - start);
}

}  // namespace

router_worker::router_worker(const instance_settings& settings,
                             const instance_identity& self,
                             timer_service& timer, peer_port& peers,
                             platform_port& platform, steward_ring& stewards,
                             metrics_sink& metrics, router_ring& inbox)
    : self_(self),
      timer_(timer),
      peers_(peers),
      stewards_(stewards),
      inbox_(inbox),
      engine_(self, settings.data_centre, settings.limits.requests_in_flight,
              std::random_device{}()),
      claims_(platform, settings.platform_timeout),
      metrics_(metrics),
      log_(metrics) {}

router_worker::~router_worker() { Stop(); }

void router_worker::Start() {
  subscription_ = timer_.Subscribe(
      kTickInterval, [this](monotonic_time now) { inbox_.TryPush(tick{now}); });
  thread_.Start("router", [this] { Run(); });
}

void router_worker::Stop() {
  timer_.Cancel(subscription_);
  stopping_ = true;
  inbox_.Close();
  thread_.Join();
  ReportUnanswered();
}

void router_worker::Run() {
  while (HandleNext()) {
    engine_.OnTimer(timer_.Now());
    PerformActions();
    ReportDrained();
  }
}

bool router_worker::HandleNext() {
  router_event event;
  const std::optional<monotonic_time> due = engine_.NextTimer();
  const bool got =
      due.has_value() ? inbox_.PopUntil(event, *due) : inbox_.Pop(event);
  if (got) std::visit([this](auto& each) { Handle(each); }, event);
  return got || !stopping_;
}

void router_worker::Handle(tick& /*event*/) {
  log_.SetOpenCount(callers_.size());
}

void router_worker::Handle(view_update& event) {
  engine_.SetView(event.view, timer_.Now());
}

void router_worker::Handle(caller_event& event) {
  const monotonic_time now = timer_.Now();
  auto opened = engine_.Open(event.request, event.arrival, now);
  if (auto* cause = std::get_if<error>(&opened)) {
    log_.RecordRefused(event.request, *cause,
                       MicrosecondsSince(event.arrival, now));
    account details;
    details.request_id = event.request.request_id;
    details.workload = event.request.workload;
    return event.reply(not_run{std::move(*cause), std::move(details)});
  }
  callers_.emplace(std::get<std::uint64_t>(opened), std::move(event));
}

void router_worker::Handle(results_event& event) {
  engine_.OnResults(event.results, timer_.Now());
}

void router_worker::Handle(peer_link_event& event) {
  engine_.OnStewardLink(event.peer.name,
                        event.state == peer_link_event::link_state::kUp,
                        timer_.Now());
}

void router_worker::Handle(platform_event& event) {
  const std::optional<claim_answer> answer = claims_.MatchReply(event.reply);
  if (!answer.has_value()) return;
  engine_.OnClaim(answer->query, answer->reply, timer_.Now());
}

void router_worker::Handle(status_query& event) {
  nlohmann::json workloads = nlohmann::json::object();
  for (const workload_status& each : engine_.Workloads()) {
    workloads[each.workload] = {
        {"hedge_delay_us",
         each.hedge_delay.value_or(std::chrono::microseconds(0)).count()}};
  }
  const nlohmann::json status = {{"queries_open", callers_.size()},
                                 {"requests_kept", log_.KeptCount()},
                                 {"workloads", std::move(workloads)}};
  event.reply(status.dump());
}

void router_worker::Handle(explain_query& event) {
  event.reply(log_.Explain(event.request_id));
}

void router_worker::Handle(stop_event& event) {
  stop_began_ = event.start;
  engine_.BeginStop(shutdown_plan(event.start, event.bound), timer_.Now());
}

void router_worker::Handle(drain_event& event) {
  drain_callbacks_.push_back(std::move(event.done));
}

void router_worker::PerformActions() {
  // An action that fails may cause further actions, so this repeats until there
  // are none.
  for (auto actions = engine_.TakeActions(); !actions.empty();
       actions = engine_.TakeActions()) {
    for (engine_action& each : actions) {
      std::visit([&](auto& action) { Perform(each.query, action); },
                 each.action);
    }
  }
}

void router_worker::Perform(std::uint64_t /*query*/, send_batch& action) {
  const std::vector<std::uint64_t> ids = AttemptIds(action.batch);
  if (Deliver(action.steward, action)) return;
  shard_results refused = RefuseAttempts(ids, shard_reason::kPeerUnreachable);
  engine_.OnResults(refused, timer_.Now());
}

bool router_worker::Deliver(const std::string& steward, send_batch& action) {
  if (steward == self_.name) {
    return stewards_.TryPush(
        batch_event{std::move(action.batch), action.deadline});
  }
  return peers_.Send(steward, std::move(action.batch));
}

void router_worker::Perform(std::uint64_t /*query*/, cancel_attempts& action) {
  // A lost cancellation lets its upstream work on one request until the
  // deadline of that request.
  shard_cancel cancel{self_, std::move(action.attempt_ids)};
  if (action.steward == self_.name) {
    stewards_.TryPush(cancel_event{std::move(cancel)});
  } else {
    peers_.Send(action.steward, std::move(cancel));
  }
}

void router_worker::Perform(std::uint64_t query, settle_request& action) {
  const auto found = callers_.find(query);
  if (found == callers_.end()) return;
  const caller_event caller = std::move(found->second);
  callers_.erase(found);
  log_.RecordFinished(caller.request, action.outcome, action.counts,
                      action.priority,
                      MicrosecondsSince(caller.arrival, timer_.Now()));
  caller.reply(std::move(action.outcome));
}

void router_worker::Perform(std::uint64_t query, write_claim& action) {
  if (claims_.Write(query, action)) return;
  claim_reply reply;
  reply.status = platform_status::kRejected;
  engine_.OnClaim(query, reply, timer_.Now());
}

void router_worker::Perform(std::uint64_t query, read_claim& action) {
  if (claims_.Read(query, action)) return;
  claim_reply reply;
  reply.status = platform_status::kRejected;
  engine_.OnClaim(query, reply, timer_.Now());
}

void router_worker::ReportDrained() {
  if (drain_callbacks_.empty() || engine_.OpenCount() > 0) return;
  for (const auto& done : std::exchange(drain_callbacks_, {})) done();
}

void router_worker::ReportUnanswered() {
  const monotonic_time now = timer_.Now();
  for (const auto& each : std::exchange(callers_, {})) {
    const caller_event& caller = each.second;
    LogUnanswered({caller.request.request_id, caller.request.workload,
                   caller.arrival, stop_began_,
                   engine_.MayHaveRun(each.first) ? awaited::kAnswer
                                                  : awaited::kCapacity},
                  now, metrics_);
  }
}

}  // namespace papayaglade
