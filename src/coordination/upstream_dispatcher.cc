#include "coordination/upstream_dispatcher.h"

#include <algorithm>
#include <utility>

#include "coordination/shard_result_factory.h"

namespace papayaglade {

namespace {

constexpr std::chrono::milliseconds kEndedGrace{100};
// An upstream slow to notice a deadline may still be told.

}  // namespace

upstream_dispatcher::upstream_dispatcher(
    upstream_definition definition,
    const upstream_dispatcher_settings& settings,
    const steward_standing& standing, dispatch_port& port, std::uint64_t seed)
    : definition_(std::move(definition)),
      settings_(settings),
      standing_(standing),
      port_(port),
      gate_(definition_.name, standing),
      control_(definition_.limits, settings.control),
      queue_(settings.queue),
      pool_(definition_.limits.connections, settings.pool, seed),
      health_(settings.health_period, settings.longest_probe_wait) {}

void upstream_dispatcher::Enqueue(queued_attempt attempt) {
  const monotonic_time now = port_.Now();
  if (const auto reason = gate_.Blocked(control_.Phase(), now))
    return Refuse(attempt, *reason);
  if (!CanMeetDeadline(attempt, now)) {
    const bool cold = control_.Phase() == steward_phase::kCold;
    return Refuse(attempt,
                  cold ? shard_reason::kCold : shard_reason::kDeadline);
  }
  attempt.arrival = now;
  const auto dropped = queue_.Push(std::move(attempt));
  if (dropped.has_value()) Refuse(*dropped, shard_reason::kQueueFull);
}

void upstream_dispatcher::Cancel(const std::vector<attempt_key>& keys) {
  for (const queued_attempt& waiting : queue_.Remove(keys)) {
    Refuse(waiting, shard_reason::kCancelled);
  }
  for (upstream_exchange& each : exchanges_.All()) {
    if (each.kind != exchange_kind::kWork || each.reported) continue;
    const attempt_key key = each.work.Key();
    if (!std::binary_search(keys.begin(), keys.end(), key)) continue;
    cancels_.Add(each.work);
    ReportLost(each, shard_reason::kCancelled);
  }
}

void upstream_dispatcher::OnOpened(std::uint64_t connection_id) {
  const monotonic_time now = port_.Now();
  if (pool_.Find(connection_id) == nullptr) return port_.Close(connection_id);
  if (connection_id < first_current_id_) return DropConnection(connection_id);
  pool_.OnOpened(connection_id, now);
  if (control_.Phase() == steward_phase::kLost) control_.OnReachable(now);
  // A connection to a silent upstream proves nothing yet: ask on it.
  if (control_.Phase() == steward_phase::kSilent) health_.AskAt(now);
  Pump();
}

void upstream_dispatcher::OnFailed(const connection_failed& event) {
  const auto* connection = pool_.Find(event.connection_id);
  if (connection == nullptr) return;
  const bool opening =
      connection->state == connection_pool::connection::use::kOpening;
  const upstream_exchange* const broken =
      exchanges_.FindOn(event.connection_id);
  if (broken != nullptr && broken->kind == exchange_kind::kWork) {
    OnWorkBroken(exchanges_.Take(broken->id), event);
  } else {
    if (broken != nullptr) exchanges_.Take(broken->id);
    OnConnectionLost(event, opening, port_.Now());
  }
  Pump();
}

void upstream_dispatcher::OnWorkBroken(upstream_exchange lost,
                                       const connection_failed& event) {
  pool_.OnClosed(event.connection_id);
  // A connection that failed while idle never took up this work.
  const bool taken_up = event.exchange_id == lost.id;
  if (taken_up && !event.nothing_sent) {
    control_.OnUnproven(lost.id);
    cancels_.AddBroken(lost.id, lost.work);
    ReportLost(lost, shard_reason::kUpstreamLost);
    return NoteReset(true, port_.Now());
  }
  control_.OnEnded(lost.id);
  const bool too_late = event.failure == connection_failure::kTimedOut;
  if (!lost.reported) {
    Refuse(lost.work,
           too_late ? shard_reason::kDeadline : shard_reason::kUpstreamLost);
  }
  // Work that this process held too long says nothing of the upstream.
  if (!too_late) NoteReset(false, port_.Now());
}

void upstream_dispatcher::OnConnectionLost(const connection_failed& event,
                                           bool opening, monotonic_time now) {
  if (event.failure == connection_failure::kRefused) {
    pool_.OnRefused(event.connection_id, now);
    control_.OnLost(now);
    return CloseIdle();
  }
  if (!opening) {
    pool_.OnClosed(event.connection_id);
    return NoteReset(false, now);
  }
  pool_.OnRefused(event.connection_id, now);
  OnOverdueCheck({}, now);
}

std::optional<exchange_kind> upstream_dispatcher::KindOf(
    std::uint64_t exchange_id) const {
  const upstream_exchange* const found = exchanges_.Find(exchange_id);
  if (found == nullptr) return std::nullopt;
  return found->kind;
}

void upstream_dispatcher::OnWorkReply(const exchange_reply& event,
                                      upstream_reply reply) {
  if (exchanges_.Find(event.exchange_id) == nullptr) return;
  const monotonic_time now = port_.Now();
  const upstream_exchange done = exchanges_.Take(event.exchange_id);
  const auto took =
      std::chrono::duration_cast<std::chrono::microseconds>(now - done.sent);
  const std::string known = control_.Incarnation();
  switch (reply.code) {
    case upstream_reply_code::kAnswered:
      control_.OnAnswered(done.id, reply.incarnation, took, now);
      if (!known.empty() && known != reply.incarnation) {
        pool_.UnverifyAllBut(done.connection_id);
      }
      pool_.Verify(done.connection_id);
      break;
    case upstream_reply_code::kSnapshotGone:
    case upstream_reply_code::kMalformed:
      control_.OnEnded(done.id);
      break;
    case upstream_reply_code::kShed:
    case upstream_reply_code::kCold:
    case upstream_reply_code::kLeaving:
      control_.OnRefused(done.id, reply.code, now);
      break;
  }
  if (!done.reported) {
    port_.Finish(done.work, MakeReplyResult(done, std::move(reply), now));
  }
  Finished(event, done, now);
}

void upstream_dispatcher::OnHealthReply(
    const exchange_reply& event, const std::optional<upstream_health>& health) {
  if (exchanges_.Find(event.exchange_id) == nullptr) return;
  const monotonic_time now = port_.Now();
  const upstream_exchange done = exchanges_.Take(event.exchange_id);
  if (health.has_value()) control_.OnHealth(*health, now);
  Finished(event, done, now);
}

std::vector<queued_attempt> upstream_dispatcher::CancelledBy(
    std::uint64_t exchange_id) const {
  const upstream_exchange* const found = exchanges_.Find(exchange_id);
  if (found == nullptr) return {};
  return found->cancelled;
}

void upstream_dispatcher::OnCancelReply(const exchange_reply& event,
                                        const std::vector<attempt_key>& ended) {
  if (exchanges_.Find(event.exchange_id) == nullptr) return;
  const monotonic_time now = port_.Now();
  const upstream_exchange done = exchanges_.Take(event.exchange_id);
  for (upstream_exchange& each : exchanges_.All()) {
    if (each.kind != exchange_kind::kWork) continue;
    const attempt_key key = each.work.Key();
    if (std::find(ended.begin(), ended.end(), key) == ended.end()) continue;
    control_.OnEnded(each.id);
    each.ended = true;
    each.due = now + kEndedGrace;
  }
  // Work of broken connections would else hold its slots until its deadline.
  for (const std::uint64_t id : cancels_.TakeProven(ended)) {
    control_.OnEnded(id);
  }
  Finished(event, done, now);
}

void upstream_dispatcher::OnTick() {
  const monotonic_time now = port_.Now();
  NotePause(now);
  control_.OnTick(now);
  for (const queued_attempt& late : queue_.TakeDue(now)) {
    const bool cold = control_.Phase() == steward_phase::kCold;
    Refuse(late, cold ? shard_reason::kCold : shard_reason::kDeadline);
  }
  CheckOverdue(now);
  cancels_.Expire(now);
  Pump();
  PollHealth(now);
}

void upstream_dispatcher::OnStandingChanged() {
  if (gate_.OnStandingChanged(port_.Now())) {
    control_.Forget(phase_cause::kStandingLost, port_.Now());
    CloseIdle();
  }
  Pump();
}

void upstream_dispatcher::SetDataCentreOut(bool out) {
  if (out == gate_.DataCentreOut()) return;
  gate_.SetDataCentreOut(out);
  control_.Forget(phase_cause::kReturned, port_.Now());
  if (out) CloseIdle();
  Pump();
}

void upstream_dispatcher::SetRequestBounds(const request_bounds& bounds) {
  bounds_ = bounds;
  const auto longest = bounds.any + settings_.control.unproven_margin;
  gate_.SetFenceExcess(
      std::max(longest - bounds.cold, std::chrono::milliseconds(0)));
}

void upstream_dispatcher::SetDefinition(const upstream_definition& definition) {
  const bool moved = definition.address != definition_.address;
  definition_ = definition;
  control_.SetLimits(definition.limits);
  pool_.SetLimit(definition.limits.connections);
  if (!moved) return;
  control_.Forget(phase_cause::kFirstContact, port_.Now());
  first_current_id_ = port_.NextId();
  CloseIdle();
}

void upstream_dispatcher::Release() {
  const monotonic_time now = port_.Now();
  released_ = control_.Report(now);
  gate_.Release();
  RefuseAll(shard_reason::kNotSteward);
  control_.Forget(phase_cause::kStandingLost, now);
  CloseIdle();
}

upstream_state upstream_dispatcher::Released() const {
  upstream_state state = released_;
  state.in_flight = control_.Report(port_.Now()).in_flight;
  return state;
}

void upstream_dispatcher::Adopt(const upstream_state& state) {
  gate_.OnHandedOver();
  control_.Adopt(state, port_.Now());
  Pump();
}

void upstream_dispatcher::Pump() {
  while (!queue_.Empty()) {
    // The clock is read anew for each send: the process may have been paused
    // anywhere before this line.
    const monotonic_time now = port_.Now();
    NotePause(now);
    if (const auto reason = gate_.Blocked(control_.Phase(), now)) {
      RefuseAll(*reason);
      break;
    }
    const auto connection = pool_.PickForWork();
    if (!connection.has_value()) break;
    if (!control_.MaySend(connection->verified, now)) break;
    // A process behind a new connection may have just started.
    if (!connection->verified && !standing_.Proven(now)) break;
    auto attempt = queue_.Pop(now);
    if (now + ExpectedTime() >= attempt->deadline) {
      Refuse(*attempt, shard_reason::kDeadline);
      continue;
    }
    SendNext(*connection, std::move(*attempt), now);
  }
  SendCancels();
  MaintainPool(port_.Now());
}

void upstream_dispatcher::NotePause(monotonic_time now) {
  const bool paused = last_awake_ != monotonic_time{} &&
                      now - last_awake_ >= settings_.longest_pause;
  last_awake_ = now;
  // Another instance may have taken over, and the upstream restarted.
  if (paused) control_.Forget(phase_cause::kPaused, now);
}

bool upstream_dispatcher::Idle() const {
  return queue_.Empty() && !exchanges_.HasUnreportedWork();
}

upstream_dispatcher::summary upstream_dispatcher::Summary() const {
  summary now_here;
  now_here.phase = control_.Phase();
  now_here.cause = control_.Cause();
  now_here.limit = control_.Limit();
  now_here.in_flight = control_.InFlight();
  now_here.unproven = control_.Unproven();
  now_here.connections = pool_.CountOpen();
  now_here.retired_connections = pool_.CountRetired();
  now_here.queued = queue_.Size();
  now_here.blocked = gate_.Blocked(control_.Phase(), port_.Now())
                         .value_or(shard_reason::kNone);
  return now_here;
}

void upstream_dispatcher::SendNext(
    const connection_pool::connection& connection, queued_attempt attempt,
    monotonic_time now) {
  const std::uint64_t id = port_.NextId();
  // The next steward's fence counts on a cold start's requests ending by then.
  const bool warm = control_.Phase() == steward_phase::kWarm;
  if (!warm) attempt.deadline = std::min(attempt.deadline, now + bounds_.cold);
  monotonic_time not_after =
      std::min(attempt.deadline, now + settings_.longest_handling);
  if (!warm || !connection.verified) {
    not_after = std::min(not_after, standing_.ProvenUntil());
  }
  if (!port_.SendWork(connection.id, id, attempt, now, not_after)) {
    return Refuse(attempt, shard_reason::kQueueFull);
  }
  control_.OnSent(id, attempt.deadline, connection.verified);
  pool_.OnBusy(connection.id);
  upstream_exchange sent;
  sent.id = id;
  sent.connection_id = connection.id;
  sent.sent = now;
  sent.due = attempt.deadline;
  sent.work = std::move(attempt);
  exchanges_.Add(std::move(sent));
}

bool upstream_dispatcher::CanMeetDeadline(const queued_attempt& attempt,
                                          monotonic_time now) const {
  const auto ahead =
      static_cast<int>(queue_.Ahead(attempt.batch->priority, attempt.flow));
  const int limit = std::max(control_.Limit(), 1);
  const auto wait = control_.Times().Recent() * (ahead / limit);
  return now + wait + ExpectedTime() < attempt.deadline;
}

std::chrono::microseconds upstream_dispatcher::ExpectedTime() const {
  // An idle upstream is always tried: refusing all work by what was learnt
  // would keep it from ever learning better.
  if (control_.InFlight() == 0) return std::chrono::microseconds(0);
  return control_.Times().Recent();
}

void upstream_dispatcher::RefuseAll(shard_reason reason) {
  for (const queued_attempt& each : queue_.TakeAll()) Refuse(each, reason);
}

void upstream_dispatcher::Refuse(const queued_attempt& attempt,
                                 shard_reason reason) {
  port_.Finish(attempt, MakeNotRunResult(reason));
}

void upstream_dispatcher::ReportLost(upstream_exchange& lost,
                                     shard_reason reason) {
  if (lost.reported) return;
  lost.reported = true;
  port_.Finish(lost.work, MakeLostResult(reason, lost.sent, port_.Now()));
}

void upstream_dispatcher::MaintainPool(monotonic_time now) {
  if (!gate_.Serving()) return;
  const bool working = !ReasonOfPhase(control_.Phase()).has_value();
  // A connection whose exchange was cancelled may never be free again.
  const int wanted = working ? control_.Limit() + exchanges_.CountEnded() : 0;
  while (pool_.ShouldOpen(wanted, now)) {
    const std::uint64_t id = port_.NextId();
    const open_connection command{id, definition_.address,
                                  settings_.connect_timeout};
    if (!port_.Open(command)) return;
    pool_.OnOpening(id, now);
  }
  while (const auto surplus = pool_.Surplus(wanted, now)) {
    DropConnection(*surplus);
  }
}

void upstream_dispatcher::CloseIdle() {
  const auto connections = pool_.Connections();
  for (const connection_pool::connection& each : connections) {
    const bool idle = each.state == connection_pool::connection::use::kIdle;
    if (idle) DropConnection(each.id);
  }
}

void upstream_dispatcher::DropConnection(std::uint64_t connection_id) {
  port_.Close(connection_id);
  pool_.OnClosed(connection_id);
}

void upstream_dispatcher::Finished(const exchange_reply& event,
                                   const upstream_exchange& done,
                                   monotonic_time now) {
  health_.OnReply(now);
  // A process that no longer listens may still answer on old connections.
  const bool lost = control_.Phase() == steward_phase::kLost;
  if (!lost) control_.OnReachable(now);
  const bool moved = event.connection_id < first_current_id_;
  if (event.keep_alive && !moved) {
    pool_.OnIdle(event.connection_id, done.kind == exchange_kind::kWork, now);
  } else {
    DropConnection(event.connection_id);
    // Several closed in short order: ask for its word at once.
    if (!moved && resets_.OnClose(now)) health_.AskAt(now);
  }
  if (lost || !gate_.Serving()) CloseIdle();
  Pump();
}

void upstream_dispatcher::NoteReset(bool busy, monotonic_time now) {
  if (!resets_.OnReset(busy, pool_.CountOpen(), now)) return;
  control_.OnRestartSign(phase_cause::kConnectionReset, now);
  pool_.UnverifyAllBut(0);
}

void upstream_dispatcher::CheckOverdue(monotonic_time now) {
  for (const std::uint64_t id : exchanges_.Due(now)) {
    upstream_exchange* const each = exchanges_.Find(id);
    if (each == nullptr) continue;
    if (each->kind == exchange_kind::kWork) {
      OnOverdueWork(*each, now);
    } else {
      const upstream_exchange check = exchanges_.Take(id);
      port_.Close(check.connection_id);
      pool_.Retire(check.connection_id, now);
      OnOverdueCheck(check, now);
    }
  }
}

void upstream_dispatcher::OnOverdueWork(upstream_exchange& late,
                                        monotonic_time now) {
  if (late.ended) {
    // The upstream said that it received and ended this attempt, so there is
    // no sign of silence.
    return DropConnection(exchanges_.Take(late.id).connection_id);
  }
  if (!late.reported) {
    ReportLost(late, shard_reason::kDeadline);
    cancels_.Add(late.work);
  }
  const monotonic_time deadline = late.work.deadline;
  if (now < deadline + settings_.control.unproven_margin) return;
  control_.OnUnproven(late.id);
  const upstream_exchange lost = exchanges_.Take(late.id);
  // Closed with a reset, so that nothing of it is delivered later; the far
  // end may never learn of it and still holds the connection.
  port_.Close(lost.connection_id);
  pool_.Retire(lost.connection_id, now);
  // Answers on other connections put the fault on this one alone.
  if (health_.LastReply() < lost.sent) health_.AskAt(now);
}

void upstream_dispatcher::OnOverdueCheck(const upstream_exchange& late,
                                         monotonic_time now) {
  if (health_.LastReply() >= late.sent && late.id != 0) return;
  if (!health_.OnUnanswered(now)) return;
  control_.OnSilent();
  RefuseAll(shard_reason::kUpstreamLost);
}

void upstream_dispatcher::SendCancels() {
  if (cancels_.Empty()) return;
  const auto connection = pool_.PickForCheck();
  if (!connection.has_value()) return;
  upstream_exchange cancel;
  cancel.id = port_.NextId();
  cancel.connection_id = connection->id;
  cancel.kind = exchange_kind::kCancel;
  cancel.sent = port_.Now();
  cancel.due = cancel.sent + settings_.health_timeout;
  cancel.cancelled = cancels_.NextBatch();
  if (!port_.SendCancel(connection->id, cancel.id, cancel.cancelled)) return;
  cancels_.DropBatch();
  pool_.OnBusy(connection->id);
  exchanges_.Add(std::move(cancel));
}

void upstream_dispatcher::PollHealth(monotonic_time now) {
  if (!health_.Due(now)) return;
  if (exchanges_.Has(exchange_kind::kHealth)) return;
  const auto connection = pool_.PickForCheck();
  if (!connection.has_value()) return;
  upstream_exchange health;
  health.id = port_.NextId();
  health.connection_id = connection->id;
  health.kind = exchange_kind::kHealth;
  health.sent = now;
  health.due = now + settings_.health_timeout;
  if (!port_.SendHealth(connection->id, health.id)) return;
  health_.OnSent(now);
  pool_.OnBusy(connection->id);
  exchanges_.Add(std::move(health));
}

}  // namespace papayaglade
