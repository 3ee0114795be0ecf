#include "app/active_request.h"

#include <algorithm>
#include <map>
#include <utility>

#include "coordination/abandoned_attempt.h"
#include "state/overloaded.h"

namespace papayaglade {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

// Fewer legs are not worth a message to another instance.
constexpr std::size_t kMinRelayedLegs = 3;
constexpr std::size_t kMaxRelayedBodyBytes = 16UL * 1024;
// Time for a relayed request and its reply to cross, so that the reply arrives
// before hedges are sent.
constexpr milliseconds kRelayTransferTime{4};

struct outcome_text {
  const char* outcome;
  const char* cause;
  bool served;
};

outcome_text Describe(const entry_answer& answer) {
  constexpr int kFirstServerError = 500;
  return std::visit(
      overloaded{
          [](const relayed_answer& each) -> outcome_text {
            const bool failed = each.reply.status >= kFirstServerError;
            return {failed ? "upstream_failure" : "relayed", "", !failed};
          },
          [](const merged_answer& each) -> outcome_text {
            return {each.missing == 0 ? "merged" : "merged_incomplete", "",
                    true};
          },
          [](const refused_answer& each) -> outcome_text {
            return {IsProvenNotRun(each.cause) ? "not_run" : "unknown",
                    RefusalName(each.cause), false};
          },
      },
      answer);
}

bool HasPlainServiceName(const attempt& attempt) {
  return attempt.upstream->record.service.find('\n') == std::string::npos;
}

milliseconds FlushAfter(microseconds hedge_delay) {
  return std::chrono::duration_cast<milliseconds>(std::max<microseconds>(
      hedge_delay - kRelayTransferTime, hedge_delay / 2));
}

}  // namespace

entry_service::active_request::active_request(
    entry_service& service, std::shared_ptr<caller_connection> connection,
    std::shared_ptr<const entry_request> request, request_run::context context)
    : service_(service),
      connection_(std::move(connection)),
      request_(std::move(request)),
      configuration_(context.configuration),
      arrival_(context.arrival),
      run_(std::move(context), service.directory_, service.policy_, *this) {}

void entry_service::active_request::Start() {
  const auto self = shared_from_this();
  connection_->SetOnDisconnect([weak = weak_from_this()] {
    if (const auto active = weak.lock()) active->OnDisconnect();
  });
  const bool may_relay =
      service_.relays_ != nullptr &&
      std::holds_alternative<fanout_target>(Route().target) &&
      request_->body.size() <= kMaxRelayedBodyBytes;
  if (may_relay) collected_.emplace();
  run_.Start(loop_context::Now());
  SendCollected();
  ScheduleTimer();
}

void entry_service::active_request::FinishBy(monotonic_time time) {
  run_.FinishBy(time);
  if (timer_.has_value()) ScheduleTimer();
}

void entry_service::active_request::FinishNow() {
  const auto self = shared_from_this();
  const monotonic_time now = loop_context::Now();
  run_.FinishBy(now);
  run_.OnTimer(now);
  ScheduleTimer();
}

void entry_service::active_request::Send(const attempt& attempt) {
  const bool is_far =
      attempt.upstream->record.data_centre != service_.directory_.DataCentre();
  if (collected_.has_value() && is_far) return collected_->push_back(attempt);
  SendDirectly(attempt);
}

void entry_service::active_request::SendDirectly(const attempt& attempt) {
  upstream_client::attempt_spec spec;
  spec.upstream = attempt.upstream;
  spec.request = request_;
  spec.configuration = configuration_;
  spec.target = &run_.Route();
  spec.time_left = attempt.time_left;
  const std::uint64_t number = attempt.number;
  const upstream_pointer upstream = attempt.upstream;
  exchanges_[number] = service_.upstream_client_.StartAttempt(
      std::move(spec),
      [weak = weak_from_this(), number, upstream](attempt_result result) {
        if (const auto self = weak.lock()) {
          self->OnResult(number, upstream->record, std::move(result));
        }
      });
}

void entry_service::active_request::SendCollected() {
  if (!collected_.has_value()) return;
  std::map<std::string, std::vector<attempt>> groups;
  for (attempt& each : *collected_) {
    const std::string& data_centre = each.upstream->record.data_centre;
    groups[data_centre].push_back(std::move(each));
  }
  collected_.reset();
  if (run_.IsDone()) return;
  for (const auto& [data_centre, group] : groups) {
    const bool may_relay =
        group.size() >= kMinRelayedLegs &&
        std::all_of(group.begin(), group.end(), HasPlainServiceName);
    if (may_relay && TryRelay(data_centre, group)) continue;
    for (const attempt& each : group) SendDirectly(each);
  }
}

bool entry_service::active_request::TryRelay(
    const std::string& data_centre, const std::vector<attempt>& group) {
  relay_request request;
  request.route = Route().name;
  request.request.id = request_->id;
  request.request.method = request_->method;
  request.request.upstream_head = request_->upstream_head;
  request.request.body = request_->body;
  request.top_records = std::get<fanout_target>(Route().target).top_records;
  request.time_left = group.front().time_left;
  request.flush_after = FlushAfter(service_.policy_.HedgeDelay(Route()));
  for (const attempt& each : group)
    request.legs.push_back({each.number, each.upstream->record.service});
  const auto exchange = std::make_shared<relay_client::id>(0);
  const auto weak = weak_from_this();
  *exchange =
      service_.relays_->Send(data_centre, std::move(request),
                             {[weak, exchange](const relay_reply& reply) {
                                if (const auto self = weak.lock())
                                  self->OnRelayReply(*exchange, reply);
                              },
                              [weak, exchange] {
                                if (const auto self = weak.lock())
                                  self->OnRelayLost(*exchange);
                              }});
  if (*exchange == 0) return false;
  for (const attempt& each : group)
    relayed_[each.number] = {*exchange, each.upstream, loop_context::Now()};
  relay_exchanges_[*exchange] = group.size();
  relayed_count_ += group.size();
  return true;
}

void entry_service::active_request::OnRelayReply(relay_client::id exchange,
                                                 const relay_reply& reply) {
  const auto self = shared_from_this();
  const monotonic_time now = loop_context::Now();
  ApplyNotices(reply.notices);
  for (const relay_part& each : reply.parts) {
    const auto ended = TakeRelayed(each.number);
    if (ended.has_value() && ended->exchange == exchange)
      RecordRelayedAnswer(*ended, each.latency);
  }
  // An answer also counts if another attempt of its leg was faster, because its
  // records are among those of the others.
  run_.OnMergedParts(reply.parts, reply.records, now);
  for (const relay_end& each : reply.ends) {
    const auto ended = TakeRelayed(each.number);
    if (!ended.has_value() || run_.IsDone()) continue;
    if (each.end != attempt_end::kNotSent)
      LogFailedAttempt(each.number, ended->upstream->record, each.end,
                       "relayed");
    attempt_result result;
    result.end = each.end;
    run_.OnResult(each.number, std::move(result), now);
  }
  ScheduleTimer();
}

void entry_service::active_request::OnRelayLost(relay_client::id exchange) {
  const auto self = shared_from_this();
  std::vector<std::uint64_t> lost;
  for (const auto& each : relayed_) {
    if (each.second.exchange == exchange) lost.push_back(each.first);
  }
  relay_exchanges_.erase(exchange);
  for (const std::uint64_t number : lost) relayed_.erase(number);
  for (const std::uint64_t number : lost) {
    if (run_.IsDone()) break;
    run_.OnResult(number, attempt_result(), loop_context::Now());
  }
  ScheduleTimer();
}

std::optional<entry_service::active_request::relayed_attempt>
entry_service::active_request::TakeRelayed(std::uint64_t number) {
  const auto found = relayed_.find(number);
  if (found == relayed_.end()) return std::nullopt;
  relayed_attempt taken = std::move(found->second);
  relayed_.erase(found);
  const auto left = relay_exchanges_.find(taken.exchange);
  if (left != relay_exchanges_.end() && --left->second == 0) {
    relay_exchanges_.erase(left);
    service_.relays_->End(taken.exchange);
  }
  return taken;
}

void entry_service::active_request::ApplyNotices(
    const std::vector<relay_notice>& notices) {
  const auto& upstreams = service_.directory_.All();
  for (const relay_notice& each : notices) {
    const auto found = upstreams.find(each.upstream);
    const bool known =
        found != upstreams.end() &&
        found->second->record.start_time_ms == each.start_time_ms;
    if (!known) continue;
    upstream_notice notice;
    notice.leaving = each.leaving;
    if (each.retry_after.count() > 0) notice.retry_after = each.retry_after;
    service_.directory_.ApplyNotice(*found->second, notice,
                                    loop_context::Now());
  }
}

void entry_service::active_request::RecordRelayedAnswer(
    const relayed_attempt& ended, milliseconds latency) {
  attempt_policy& policy = service_.policy_;
  const monotonic_time now = loop_context::Now();
  ended.upstream->health.RecordAnswer(now - latency,
                                      policy.MedianLatency(Route()), now);
  policy.RecordLatency(Route(), latency);
}

void entry_service::active_request::RecordRelayedLate(
    const relayed_attempt& abandoned) {
  const monotonic_time now = loop_context::Now();
  const microseconds usual = service_.policy_.MedianLatency(Route());
  const auto age =
      std::chrono::duration_cast<microseconds>(now - abandoned.sent_at);
  if (AbandonedAttemptTimeout(age, usual).count() > 0) return;
  abandoned.upstream->health.RecordLate(abandoned.sent_at, usual, now);
}

void entry_service::active_request::Abandon(std::uint64_t number) {
  const auto relayed = relayed_.find(number);
  if (relayed != relayed_.end()) {
    service_.relays_->Cancel(relayed->second.exchange, number);
    RecordRelayedLate(relayed->second);
    TakeRelayed(number);
    return;
  }
  const auto found = exchanges_.find(number);
  if (found == exchanges_.end()) return;
  service_.upstream_client_.Abandon(found->second);
  exchanges_.erase(found);
}

void entry_service::active_request::Finish(entry_answer answer) {
  const bool diverted =
      service_.diverting_ && std::holds_alternative<refused_answer>(answer);
  const bool should_leave = service_.stop_.has_value() || diverted;
  const bool keep_alive =
      request_->keep_alive && (!should_leave || connection_->HasReceivedMore());
  const bool head = request_->method == "HEAD";
  RecordOutcome(answer);
  service_.RecordDuration(*this);
  const auto connection = std::move(connection_);
  connection_ = nullptr;
  const auto self = shared_from_this();
  service_.Remove(this);
  service_.Deliver(connection,
                   service_.wire_.EncodeAnswer(answer, head, keep_alive),
                   !keep_alive, request_->id, run_.Route().name, arrival_);
}

milliseconds entry_service::active_request::Age() const {
  return std::chrono::duration_cast<milliseconds>(loop_context::Now() -
                                                  arrival_);
}

milliseconds entry_service::active_request::TimeAllowed() const {
  return std::chrono::duration_cast<milliseconds>(run_.Deadline() -
                                                  loop_context::Now());
}

owed_answer entry_service::active_request::Owed() const {
  owed_answer owed = service_.Owed(request_->id, run_.Route().name, arrival_);
  for (const request_run::open_leg& each : run_.OpenLegs()) {
    const bool asked = !each.attempts.empty();
    owed.open_legs.push_back(each.service + "/" +
                             (asked ? each.upstream : "-"));
    if (!asked || owed.waits_for == awaited::kAnswer) continue;
    owed.waits_for = std::any_of(each.attempts.begin(), each.attempts.end(),
                                 [&](auto n) { return IsConnected(n); })
                         ? awaited::kAnswer
                         : awaited::kConnect;
  }
  return owed;
}

bool entry_service::active_request::IsConnected(std::uint64_t number) const {
  if (relayed_.count(number) != 0) return true;
  const auto found = exchanges_.find(number);
  return found != exchanges_.end() &&
         service_.upstream_client_.IsConnected(found->second);
}

void entry_service::active_request::OnResult(std::uint64_t number,
                                             const upstream_record& upstream,
                                             attempt_result result) {
  const auto self = shared_from_this();
  exchanges_.erase(number);
  if (result.end != attempt_end::kAnswered)
    LogFailedAttempt(number, upstream, result.end, result.why);
  run_.OnResult(number, std::move(result), loop_context::Now());
  ScheduleTimer();
}

void entry_service::active_request::OnDisconnect() {
  const auto self = shared_from_this();
  const connection_end end = connection_->End();
  connection_ = nullptr;
  if (run_.IsDone()) return;
  service_.RecordUnanswered(Owed(), end);
  service_.RecordDuration(*this);
  run_.Cancel();
  service_.Remove(this);
}

void entry_service::active_request::ScheduleTimer() {
  if (run_.IsDone()) {
    if (timer_.has_value()) service_.loop_.Cancel(*timer_);
    timer_.reset();
    return;
  }
  if (timer_.has_value() && timer_expiry_ <= run_.NextTimer()) return;
  if (timer_.has_value()) service_.loop_.Cancel(*timer_);
  timer_expiry_ = run_.NextTimer();
  timer_ = service_.loop_.ScheduleAt(
      timer_expiry_, [self = shared_from_this()](monotonic_time now) {
        self->timer_.reset();
        self->run_.OnTimer(now);
        self->ScheduleTimer();
      });
}

void entry_service::active_request::LogFailedAttempt(
    std::uint64_t number, const upstream_record& upstream, attempt_end end,
    const char* why) {
  service_.log_.Write(structured_log::kind::kAttempt,
                      log_line("attempt_failed")
                          .With("request", request_->id)
                          .With("number", static_cast<int64_t>(number))
                          .With("service", upstream.service)
                          .With("upstream", upstream.id)
                          .With("end", AttemptEndName(end))
                          .With("why", why));
}

void entry_service::active_request::RecordOutcome(const entry_answer& answer) {
  const auto elapsed =
      std::chrono::duration_cast<microseconds>(loop_context::Now() - arrival_);
  const outcome_text text = Describe(answer);
  const run_statistics account = run_.Statistics();
  request_sample sample;
  sample.workload = run_.Route().name;
  sample.outcome = text.outcome;
  sample.latency = elapsed;
  sample.coverage = account.legs == 0 ? 0
                                      : static_cast<double>(account.answered) /
                                            static_cast<double>(account.legs);
  service_.metrics_.Record(sample);
  const bool is_complete = text.served && account.answered == account.legs;
  log_line line("request");
  line.With("request", request_->id)
      .With("route", run_.Route().name)
      .With("outcome", text.outcome)
      .With("cause", text.cause)
      .With("us", elapsed.count())
      .With("legs", static_cast<std::int64_t>(account.legs))
      .With("answered", static_cast<std::int64_t>(account.answered))
      .With("attempts", static_cast<std::int64_t>(account.attempts))
      .With("handed_over", static_cast<std::int64_t>(relayed_count_))
      .With("hedges", static_cast<std::int64_t>(account.hedges))
      .With("retries", static_cast<std::int64_t>(account.retries))
      .With("denied", static_cast<std::int64_t>(account.denied_repeats))
      .With("alone",
            static_cast<std::int64_t>(account.repeats_without_upstream))
      .With("unsent", static_cast<std::int64_t>(account.unsent_legs));
  service_.AddState(line, configuration_->version);
  service_.log_.Write(is_complete ? structured_log::kind::kSuccess
                                  : structured_log::kind::kFailure,
                      line);
}

}  // namespace papayaglade
