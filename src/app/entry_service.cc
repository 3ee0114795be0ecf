#include "app/entry_service.h"

#include <algorithm>
#include <unordered_map>
#include <utility>

#include "state/overloaded.h"

namespace papayaglade {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

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

// Tells of a request that is taken while the instance stops.
log_line TakenLine(const owed_answer& owed, milliseconds allowed) {
  return log_line("taken_while_stopping")
      .With("request", owed.request)
      .With("route", owed.route)
      .With("stopping_ms", owed.stopping.value_or(milliseconds(-1)).count())
      .With("allowed_ms", allowed.count());
}

}  // namespace

// A request in progress: performs the actions that its request_run decides on.
class entry_service::active_request
    : public run_port,
      public std::enable_shared_from_this<active_request> {
 public:
  active_request(entry_service& service,
                 std::shared_ptr<caller_connection> connection,
                 std::shared_ptr<const entry_request> request,
                 request_run::context context)
      : service_(service),
        connection_(std::move(connection)),
        request_(std::move(request)),
        configuration_(context.configuration),
        arrival_(context.arrival),
        run_(std::move(context), service.directory_, service.policy_, *this) {}

  void Start() {
    connection_->SetOnDisconnect([weak = weak_from_this()] {
      if (const auto self = weak.lock()) self->OnDisconnect();
    });
    run_.Start(loop_context::Now());
    ScheduleTimer();
  }

  void Send(const attempt& attempt) override {
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

  void Abandon(std::uint64_t number) override {
    const auto found = exchanges_.find(number);
    if (found == exchanges_.end()) return;
    service_.upstream_client_.Abandon(found->second);
    exchanges_.erase(found);
  }

  void Finish(entry_answer answer) override {
    const bool diverted =
        service_.diverting_ && std::holds_alternative<refused_answer>(answer);
    const bool should_leave = service_.stop_.has_value() || diverted;
    const bool keep_alive = request_->keep_alive &&
                            (!should_leave || connection_->HasReceivedMore());
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

  // Lets the request end by `time`, because the instance stops then.
  void FinishBy(monotonic_time time) {
    run_.FinishBy(time);
    if (timer_.has_value()) ScheduleTimer();
  }

  // Answers with what is known by now.
  void FinishNow() {
    const auto self = shared_from_this();
    const monotonic_time now = loop_context::Now();
    run_.FinishBy(now);
    run_.OnTimer(now);
    ScheduleTimer();
  }

  const route& Route() const { return run_.Route(); }
  bool HasReachedUpstream() const { return run_.Statistics().attempts > 0; }
  milliseconds Age() const {
    return std::chrono::duration_cast<milliseconds>(loop_context::Now() -
                                                    arrival_);
  }
  // The longest that the request may still take.
  milliseconds TimeAllowed() const {
    return std::chrono::duration_cast<milliseconds>(run_.Deadline() -
                                                    loop_context::Now());
  }

  // What the request waits for at present.
  owed_answer Owed() const {
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

 private:
  bool IsConnected(std::uint64_t number) const {
    const auto found = exchanges_.find(number);
    return found != exchanges_.end() &&
           service_.upstream_client_.IsConnected(found->second);
  }

  void OnResult(std::uint64_t number, const upstream_record& upstream,
                attempt_result result) {
    const auto self = shared_from_this();
    exchanges_.erase(number);
    const attempt_end end = result.end;
    if (end != attempt_end::kAnswered) {
      service_.log_.Write(structured_log::kind::kAttempt,
                          log_line("attempt_failed")
                              .With("request", request_->id)
                              .With("number", static_cast<int64_t>(number))
                              .With("service", upstream.service)
                              .With("upstream", upstream.id)
                              .With("end", AttemptEndName(end))
                              .With("why", result.why));
    }
    run_.OnResult(number, std::move(result), loop_context::Now());
    ScheduleTimer();
  }

  void OnDisconnect() {
    const auto self = shared_from_this();
    const connection_end end = connection_->End();
    connection_ = nullptr;
    if (run_.IsDone()) return;
    service_.RecordUnanswered(Owed(), end);
    service_.RecordDuration(*this);
    run_.Cancel();
    service_.Remove(this);
  }

  void ScheduleTimer() {
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

  void RecordOutcome(const entry_answer& answer) {
    const auto elapsed = std::chrono::duration_cast<microseconds>(
        loop_context::Now() - arrival_);
    const outcome_text text = Describe(answer);
    const run_statistics account = run_.Statistics();
    request_sample sample;
    sample.workload = run_.Route().name;
    sample.outcome = text.outcome;
    sample.latency = elapsed;
    sample.coverage = account.legs == 0
                          ? 0
                          : static_cast<double>(account.answered) /
                                static_cast<double>(account.legs);
    service_.metrics_.Record(sample);
    const bool is_complete = text.served && account.answered == account.legs;
    service_.log_.Write(
        is_complete ? structured_log::kind::kSuccess
                    : structured_log::kind::kFailure,
        log_line("request")
            .With("request", request_->id)
            .With("route", run_.Route().name)
            .With("outcome", text.outcome)
            .With("cause", text.cause)
            .With("us", elapsed.count())
            .With("legs", static_cast<std::int64_t>(account.legs))
            .With("answered", static_cast<std::int64_t>(account.answered))
            .With("attempts", static_cast<std::int64_t>(account.attempts))
            .With("hedges", static_cast<std::int64_t>(account.hedges))
            .With("retries", static_cast<std::int64_t>(account.retries))
            .With("denied", static_cast<std::int64_t>(account.denied_repeats))
            .With("alone",
                  static_cast<std::int64_t>(account.repeats_without_upstream))
            .With("unsent", static_cast<std::int64_t>(account.unsent_legs))
            .With("configuration", configuration_->version)
            .With("state_age_ms", service_.StateAge()));
  }

  entry_service& service_;
  std::shared_ptr<caller_connection> connection_;
  std::shared_ptr<const entry_request> request_;
  std::shared_ptr<const tier_configuration> configuration_;
  monotonic_time arrival_;
  request_run run_;
  std::unordered_map<std::uint64_t, upstream_client::id> exchanges_;
  std::optional<timer_queue::id> timer_;
  monotonic_time timer_expiry_;
};

entry_service::entry_service(loop_context& loop, const entry_wire_format& wire,
                             upstream_directory& directory,
                             attempt_policy& policy, upstream_client& client,
                             structured_log& log, metrics_registry& metrics)
    : loop_(loop),
      wire_(wire),
      directory_(directory),
      policy_(policy),
      upstream_client_(client),
      log_(log),
      metrics_(metrics) {}

entry_service::~entry_service() = default;

void entry_service::SetConfiguration(
    std::shared_ptr<const tier_configuration> configuration) {
  routes_.emplace(std::move(configuration));
}

caller_limits entry_service::Limits() const {
  return routes_.has_value() ? routes_->Configuration()->limits
                             : caller_limits();
}

void entry_service::OnRequest(const std::shared_ptr<caller_connection>& from,
                              caller_message message) {
  const bool head = message.method() == boost::beast::http::verb::head;
  auto decoded = wire_.DecodeRequest(message);
  if (const auto* refused = std::get_if<refused_answer>(&decoded)) {
    return Refuse(from, {"", "", false, head}, *refused);
  }
  const auto request = std::make_shared<const entry_request>(
      std::get<entry_request>(std::move(decoded)));
  if (!routes_.has_value()) {
    return Refuse(from, {request->id, "", false, head},
                  {refusal::kNoConfiguration, std::nullopt});
  }
  const route* target = routes_->Find(request->host, request->target);
  if (target == nullptr) {
    return Refuse(from, {request->id, "", request->keep_alive, head},
                  {refusal::kNoRoute, std::nullopt});
  }
  if (!from->HasRoomForAnswers()) {
    return Refuse(from, {request->id, target->name, request->keep_alive, head},
                  {refusal::kUnread, std::nullopt});
  }
  demand_.Count(target->name, loop_context::Now());
  request_run::context context;
  context.configuration = routes_->Configuration();
  context.matched_route = target;
  context.arrival = loop_context::Now();
  context.time_left = request->time_left;
  const auto active = std::make_shared<active_request>(*this, from, request,
                                                       std::move(context));
  if (stop_.has_value()) {
    if (!MayTakeWhileStopping(*active)) {
      return Refuse(from,
                    {request->id, target->name, request->keep_alive, head},
                    {refusal::kStopping, milliseconds(0)});
    }
    active->FinishBy(stop_->AnswerBy());
    log_.Write(structured_log::kind::kOwed,
               TakenLine(active->Owed(), active->TimeAllowed()));
  }
  active_.insert(active);
  active->Start();
}

void entry_service::OnMalformed(const std::shared_ptr<caller_connection>& from,
                                bool too_large) {
  Refuse(from, {},
         {too_large ? refusal::kTooLarge : refusal::kMalformed, std::nullopt});
}

void entry_service::OnNoMemory(const std::shared_ptr<caller_connection>& from,
                               const caller_message& message) {
  auto decoded = wire_.DecodeRequest(message);
  if (const auto* refused = std::get_if<refused_answer>(&decoded)) {
    return Refuse(from, {}, *refused);
  }
  const auto& request = std::get<entry_request>(decoded);
  Refuse(from, {request.id, "", false, false},
         {refusal::kNoMemory, std::nullopt});
}

void entry_service::Refuse(const std::shared_ptr<caller_connection>& to,
                           const refused_request& request,
                           refused_answer answer) {
  request_sample sample;
  sample.workload = request.route.empty() ? "(none)" : request.route;
  sample.outcome = RefusalName(answer.cause);
  metrics_.Record(sample);
  log_line line("refused");
  line.With("request", request.id).With("cause", RefusalName(answer.cause));
  if (!request.route.empty()) line.With("route", request.route);
  if (routes_.has_value()) {
    line.With("configuration", routes_->Configuration()->version);
    line.With("state_age_ms", StateAge());
  }
  log_.Write(structured_log::kind::kFailure, line);
  const bool keep =
      request.keep_alive && (!stop_.has_value() || to->HasReceivedMore());
  Deliver(to, wire_.EncodeAnswer(answer, request.head, keep), !keep, request.id,
          request.route, loop_context::Now());
}

void entry_service::Deliver(const std::shared_ptr<caller_connection>& to,
                            std::string answer, bool close,
                            const std::string& id, const std::string& route,
                            monotonic_time arrival) {
  WatchDropped(*to, close, id, route);
  to->Respond(std::move(answer), close);
  if (!to->HasUnwrittenAnswer()) return;
  const std::weak_ptr<caller_connection> weak = to;
  to->AddOnUnwritten([this, weak, id, route, arrival] {
    const auto from = weak.lock();
    if (from == nullptr) return;
    owed_answer owed = Owed(id, route, arrival);
    owed.waits_for = awaited::kWrite;
    RecordUnanswered(owed, from->End());
  });
}

void entry_service::WatchDropped(caller_connection& connection, bool close,
                                 const std::string& id,
                                 const std::string& route) {
  if (!close && !connection.HasReceivedMore()) {
    return connection.SetOnDropped(nullptr);
  }
  connection.SetOnDropped([this, id, route](std::size_t bytes) {
    log_.Write(structured_log::kind::kFailure,
               log_line("bytes_dropped")
                   .With("request", id)
                   .With("route", route)
                   .With("bytes", static_cast<std::int64_t>(bytes)));
  });
}

owed_answer entry_service::Owed(const std::string& id, const std::string& route,
                                monotonic_time arrival) const {
  const monotonic_time now = loop_context::Now();
  owed_answer owed;
  owed.request = id;
  owed.route = route;
  owed.age = std::chrono::duration_cast<milliseconds>(now - arrival);
  if (stop_.has_value()) {
    owed.stopping =
        std::chrono::duration_cast<milliseconds>(now - stop_->Start());
  }
  return owed;
}

void entry_service::RecordUnanswered(const owed_answer& owed,
                                     connection_end end) {
  const char* by = ConnectionEndName(end);
  metrics_.Add(counter_metric::kUnanswered, by, 1);
  ++unanswered_;
  if (owed.waits_for == awaited::kWrite) ++unwritten_;
  log_.Write(structured_log::kind::kOwed,
             OwedAnswerLine(IsEndedByCaller(end) ? "caller_left" : "unanswered",
                            owed, by, std::chrono::system_clock::now()));
}

void entry_service::BeginStop(const shutdown_plan& plan) {
  stop_ = plan;
  for (const auto& each : active_) {
    each->FinishBy(plan.AnswerBy());
    log_.Write(structured_log::kind::kOwed,
               OwedAnswerLine("in_progress", each->Owed(), "",
                              std::chrono::system_clock::now()));
  }
}

void entry_service::FinishAll() {
  const std::set<std::shared_ptr<active_request>> all = active_;
  for (const auto& each : all) each->FinishNow();
}

// A request in progress shows that one like it may take as long as it has.
bool entry_service::MayTakeWhileStopping(const active_request& request) const {
  const monotonic_time now = loop_context::Now();
  auto longest =
      durations_.Longest(request.Route().name, request.Route().idempotent, now);
  for (const auto& each : active_) {
    if (!longest.has_value()) break;
    if (each->Route().name != request.Route().name) continue;
    longest->Add(each->Age());
  }
  return stop_->MayTake(
      TimeNeeded(longest, request.Route().idempotent, request.TimeAllowed()),
      now);
}

void entry_service::RecordDuration(const active_request& ended) {
  if (!ended.HasReachedUpstream()) return;
  durations_.Add(ended.Route().name, ended.Age(), loop_context::Now());
}

bool entry_service::MostRequestsUnservable(monotonic_time now) const {
  return routes_.has_value() &&
         demand_.IsMostlyUnservable(*routes_->Configuration(), directory_, now);
}

std::int64_t entry_service::StateAge() const {
  return state_age_ ? state_age_().count() : -1;
}

void entry_service::Remove(active_request* finished) {
  active_.erase(finished->shared_from_this());
}

}  // namespace papayaglade
