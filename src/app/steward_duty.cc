#include "app/steward_duty.h"

#include <utility>

#include "protocol/upstream_codec.h"

namespace papayaglade {

namespace {

constexpr std::chrono::milliseconds kTickPeriod{5};
constexpr std::chrono::milliseconds kConnectTimeout{500};

std::chrono::microseconds Since(monotonic_time start, monotonic_time now) {
  return std::chrono::duration_cast<std::chrono::microseconds>(now - start);
}

}  // namespace

steward_duty::steward_duty(const instance_settings& settings,
                           const instance_identity& self, timer_service& timer,
                           peer_port& peers, upstream_port& upstreams,
                           router_ring& router, metrics_sink& metrics,
                           steward_ring& inbox)
    : settings_(settings),
      self_(self),
      timer_(timer),
      peers_(peers),
      upstreams_(upstreams),
      router_(router),
      metrics_(metrics),
      inbox_(inbox) {}

steward_duty::~steward_duty() { Stop(); }

void steward_duty::Start() {
  subscription_ = timer_.Subscribe(
      kTickPeriod, [this](monotonic_time now) { inbox_.TryPush(tick{now}); });
  thread_.Start("stewards", [this] { Run(); });
}

void steward_duty::Stop() {
  timer_.Cancel(subscription_);
  inbox_.Close();
  thread_.Join();
}

void steward_duty::Run() {
  steward_event event;
  while (inbox_.Pop(event)) {
    std::visit([this](auto& each) { Handle(each); }, event);
  }
}

void steward_duty::Handle(tick& /*event*/) {}

void steward_duty::Handle(view_update& event) {
  view_ = event.view;
  if (view_->config == nullptr) return;
  for (const service_definition& service : view_->config->services) {
    for (const upstream_definition& upstream : service.upstreams) {
      served_[upstream.name].definition = upstream;
    }
  }
}

void steward_duty::Handle(standing_update& /*event*/) {}

void steward_duty::Handle(batch_event& event) {
  const auto batch =
      std::make_shared<const shard_batch>(std::move(event.batch));
  for (std::size_t i = 0; i < batch->attempts.size(); ++i) {
    queued_attempt attempt{0, batch, i, event.deadline, {}};
    const auto found = served_.find(batch->attempts[i].upstream);
    if (found == served_.end()) {
      shard_result refusal;
      refusal.status = shard_status::kNotRun;
      refusal.reason = shard_reason::kNotSteward;
      Answer(attempt, std::move(refusal));
      continue;
    }
    found->second.queue.push_back(std::move(attempt));
    Pump(found->second);
  }
}

void steward_duty::Handle(cancel_event& /*event*/) {}

void steward_duty::Handle(connection_opened& event) {
  served_upstream& upstream =
      served_.at(owner_of_connection_.at(event.connection_id));
  upstream.idle.push_back(event.connection_id);
  Pump(upstream);
}

void steward_duty::Handle(connection_failed& event) {
  const auto owner = owner_of_connection_.find(event.connection_id);
  if (owner == owner_of_connection_.end()) return;
  served_upstream& upstream = served_.at(owner->second);
  --upstream.opened;
  owner_of_connection_.erase(owner);
  const auto lost = in_flight_.find(event.connection_id);
  if (lost == in_flight_.end()) return;
  shard_result result;
  result.reason = shard_reason::kUpstreamLost;
  Answer(lost->second, std::move(result));
  in_flight_.erase(lost);
}

void steward_duty::Handle(exchange_reply& event) {
  const auto sent = in_flight_.find(event.connection_id);
  if (sent == in_flight_.end()) return;
  upstream_reply reply = ParseUpstreamReply(event.status, event.body);
  shard_result result;
  result.upstream_time = Since(sent->second.sent, timer_.Now());
  result.snapshot = reply.snapshot;
  result.hits = std::move(reply.hits);
  if (reply.verdict == upstream_verdict::kAnswered) {
    result.status = shard_status::kAnswered;
  } else {
    result.reason = shard_reason::kUpstreamRefused;
  }
  Answer(sent->second, std::move(result));
  in_flight_.erase(sent);
  served_upstream& upstream =
      served_.at(owner_of_connection_.at(event.connection_id));
  upstream.idle.push_back(event.connection_id);
  Pump(upstream);
}

void steward_duty::Handle(handover_event& /*event*/) {}

void steward_duty::Handle(handover_request& event) { event.reply({}); }

void steward_duty::Handle(peer_link_event& /*event*/) {}

void steward_duty::Handle(status_query& event) { event.reply("{}"); }

void steward_duty::Handle(drain_event& event) { event.done(); }

void steward_duty::Pump(served_upstream& upstream) {
  while (!upstream.queue.empty() && !upstream.idle.empty()) {
    queued_attempt attempt = std::move(upstream.queue.front());
    upstream.queue.pop_front();
    const std::uint64_t connection = upstream.idle.back();
    upstream.idle.pop_back();
    const shard_attempt& wanted = attempt.batch->attempts[attempt.index];
    attempt.sent = timer_.Now();
    http_request request = FormatUpstreamRequest(
        {AttemptName(attempt.batch->origin, wanted.attempt_id), wanted.shard,
         attempt.batch->snapshot, attempt.batch->request_id,
         attempt.batch->query, Since(attempt.sent, attempt.deadline),
         attempt.batch->repeatable});
    upstreams_.Send(send_exchange{connection, ++last_id_, request.method,
                                  request.target, std::move(request.body)});
    in_flight_.emplace(connection, std::move(attempt));
  }
  const bool may_open = upstream.opened < upstream.definition.limits.slots;
  if (upstream.queue.empty() || !may_open) return;
  ++upstream.opened;
  const std::uint64_t connection = ++last_id_;
  owner_of_connection_[connection] = upstream.definition.name;
  upstreams_.Send(open_connection{connection, upstream.definition.address,
                                  kConnectTimeout});
}

void steward_duty::Answer(const queued_attempt& attempt, shard_result result) {
  const shard_batch& batch = *attempt.batch;
  result.attempt_id = batch.attempts[attempt.index].attempt_id;
  shard_results message;
  message.results.push_back(std::move(result));
  if (batch.origin == self_) {
    router_.TryPush(results_event{std::move(message)});
  } else {
    peers_.Send(batch.origin.name, std::move(message));
  }
}

}  // namespace papayaglade
