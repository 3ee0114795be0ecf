#include "app/entry_service.h"

#include <utility>
#include <vector>

#include "app/active_request.h"

namespace papayaglade {

namespace {

using std::chrono::milliseconds;

// Logged where the copy of the store was never confirmed.
constexpr milliseconds kUnknownAge{-1};

// Tells of a request that is taken while the instance stops.
log_line TakenLine(const owed_answer& owed, milliseconds allowed) {
  return log_line("taken_while_stopping")
      .With("request", owed.request)
      .With("route", owed.route)
      .With("stopping_ms", owed.stopping.value_or(milliseconds(-1)).count())
      .With("allowed_ms", allowed.count());
}

}  // namespace

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
  if (routes_.has_value()) AddState(line, routes_->Configuration()->version);
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

bool entry_service::MayTakeWhileStopping(const active_request& request) const {
  const monotonic_time now = loop_context::Now();
  const route& target = request.Route();
  std::vector<milliseconds> in_progress;
  for (const auto& each : active_) {
    if (each->Route().name == target.name) in_progress.push_back(each->Age());
  }
  return stop_->MayTake(
      durations_.TimeNeededNext(target.name, target.idempotent,
                                request.TimeAllowed(), in_progress, now),
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

void entry_service::AddState(log_line& line, std::int64_t version) const {
  const state_status known = state_status_ ? state_status_() : state_status();
  const copy_status& copy = known.configuration;
  line.With("configuration", version)
      .With("state_age_ms", known.answer_age.count())
      .With("copy_age_ms", copy.confirmed_age.value_or(kUnknownAge).count())
      .With("copy_era", copy.at.era)
      .With("copy_revision", copy.at.revision)
      .With("copy_from", copy.source.empty() ? "store" : copy.source);
  if (*known.unapplied.why == '\0') return;
  line.With("unapplied", known.unapplied.why)
      .With("unapplied_version", known.unapplied.version);
}

void entry_service::Remove(active_request* finished) {
  active_.erase(finished->shared_from_this());
}

}  // namespace papayaglade
