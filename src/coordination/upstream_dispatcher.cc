#include "coordination/upstream_dispatcher.h"

#include <algorithm>
#include <utility>

#include "coordination/shard_result_factory.h"

namespace papayaglade {

namespace {

// Time to wait for the reply to an attempt that the upstream has acknowledged
// to have ended.
constexpr std::chrono::milliseconds kEndedReplyTimeout{100};

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
      health_(settings.health_period, settings.max_probe_interval) {}

void upstream_dispatcher::Enqueue(queued_attempt attempt) {
  const monotonic_time now = port_.Now();
  if (const auto reason = gate_.BlockReason(control_.Phase(), now))
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
  if (connection_id < first_current_id_) return CloseConnection(connection_id);
  pool_.OnOpened(connection_id, now);
  if (control_.Phase() == steward_phase::kLost) control_.OnReachable(now);
  // A new connection does not prove that a silent upstream answers, so check
  // its health.
  if (control_.Phase() == steward_phase::kSilent) health_.ScheduleAt(now);
  DispatchQueued();
}

void upstream_dispatcher::OnFailed(const connection_failed& event) {
  const auto* connection = pool_.Find(event.connection_id);
  if (connection == nullptr) return;
  const bool opening =
      connection->state == connection_pool::connection::usage::kOpening;
  const upstream_exchange* const broken =
      exchanges_.FindByConnection(event.connection_id);
  if (broken != nullptr && broken->kind == exchange_kind::kWork) {
    OnWorkConnectionLost(exchanges_.Take(broken->id), event);
  } else {
    if (broken != nullptr) exchanges_.Take(broken->id);
    OnConnectionLost(event, opening, port_.Now());
  }
  DispatchQueued();
}

void upstream_dispatcher::OnWorkConnectionLost(upstream_exchange lost,
                                               const connection_failed& event) {
  pool_.OnClosed(event.connection_id);
  // A connection that failed while it was idle never carried this work.
  const bool was_started = event.exchange_id == lost.id;
  if (was_started && !event.nothing_sent) {
    control_.OnUnproven(lost.id);
    cancels_.AddBroken(lost.id, lost.work);
    ReportLost(lost, shard_reason::kUpstreamLost);
    return OnConnectionReset(true, port_.Now());
  }
  control_.OnEnded(lost.id);
  const bool too_late = event.failure == connection_failure::kTimedOut;
  if (!lost.reported) {
    Refuse(lost.work,
           too_late ? shard_reason::kDeadline : shard_reason::kUpstreamLost);
  }
  // Work that this process delayed for too long says nothing about the
  // upstream.
  if (!too_late) OnConnectionReset(false, port_.Now());
}

void upstream_dispatcher::OnConnectionLost(const connection_failed& event,
                                           bool opening, monotonic_time now) {
  if (event.failure == connection_failure::kRefused) {
    pool_.OnRefused(event.connection_id, now);
    control_.OnLost(now);
    return CloseIdleConnections();
  }
  if (!opening) {
    pool_.OnClosed(event.connection_id);
    return OnConnectionReset(false, now);
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
        pool_.UnverifyAllExcept(done.connection_id);
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
  OnExchangeFinished(event, done, now);
}

void upstream_dispatcher::OnHealthReply(
    const exchange_reply& event, const std::optional<upstream_health>& health) {
  if (exchanges_.Find(event.exchange_id) == nullptr) return;
  const monotonic_time now = port_.Now();
  const upstream_exchange done = exchanges_.Take(event.exchange_id);
  if (health.has_value()) control_.OnHealth(*health, now);
  OnExchangeFinished(event, done, now);
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
    each.due = now + kEndedReplyTimeout;
  }
  // Otherwise, the work of broken connections would occupy its slots until its
  // deadline.
  for (const std::uint64_t id : cancels_.TakeProvenEnded(ended)) {
    control_.OnEnded(id);
  }
  OnExchangeFinished(event, done, now);
}

void upstream_dispatcher::OnTick() {
  const monotonic_time now = port_.Now();
  CheckProcessPause(now);
  control_.OnTick(now);
  for (const queued_attempt& late : queue_.TakeExpired(now)) {
    const bool cold = control_.Phase() == steward_phase::kCold;
    Refuse(late, cold ? shard_reason::kCold : shard_reason::kDeadline);
  }
  CheckOverdue(now);
  cancels_.Expire(now);
  DispatchQueued();
  PollHealth(now);
}

void upstream_dispatcher::OnStandingChanged() {
  if (gate_.OnStandingChanged(port_.Now())) {
    control_.ResetToUnknown(phase_cause::kStandingLost, port_.Now());
    CloseIdleConnections();
  }
  DispatchQueued();
}

void upstream_dispatcher::SetDataCentreOut(bool out) {
  if (out == gate_.DataCentreOut()) return;
  gate_.SetDataCentreOut(out);
  control_.ResetToUnknown(phase_cause::kReturned, port_.Now());
  if (out) CloseIdleConnections();
  DispatchQueued();
}

void upstream_dispatcher::SetRequestBounds(const request_bounds& bounds) {
  bounds_ = bounds;
  const auto longest = bounds.any + settings_.control.deadline_margin;
  gate_.SetExtraFenceTime(
      std::max(longest - bounds.cold, std::chrono::milliseconds(0)));
}

void upstream_dispatcher::SetDefinition(const upstream_definition& definition) {
  const bool moved = definition.address != definition_.address;
  definition_ = definition;
  control_.SetLimits(definition.limits);
  pool_.SetLimit(definition.limits.connections);
  if (!moved) return;
  control_.ResetToUnknown(phase_cause::kFirstContact, port_.Now());
  first_current_id_ = port_.NextId();
  CloseIdleConnections();
}

void upstream_dispatcher::Release() {
  const monotonic_time now = port_.Now();
  released_ = control_.ExportState(now);
  gate_.Release();
  RefuseAll(shard_reason::kNotSteward);
  control_.ResetToUnknown(phase_cause::kStandingLost, now);
  CloseIdleConnections();
}

upstream_state upstream_dispatcher::ReleasedState() const {
  upstream_state state = released_;
  state.in_flight = control_.ExportState(port_.Now()).in_flight;
  return state;
}

void upstream_dispatcher::ImportState(const upstream_state& state) {
  gate_.OnHandoverReceived();
  control_.ImportState(state, port_.Now());
  DispatchQueued();
}

void upstream_dispatcher::DispatchQueued() {
  while (!queue_.Empty()) {
    // The clock is read before each send, as the process may have been paused
    // at any earlier point.
    const monotonic_time now = port_.Now();
    CheckProcessPause(now);
    if (const auto reason = gate_.BlockReason(control_.Phase(), now)) {
      RefuseAll(*reason);
      break;
    }
    const auto connection = pool_.PickForWork();
    if (!connection.has_value()) break;
    if (!control_.MaySend(connection->verified, now)) break;
    // The process behind an unverified connection may have just started.
    if (!connection->verified && !standing_.IsProven(now)) break;
    auto attempt = queue_.Pop(now);
    if (now + ExpectedResponseTime() >= attempt->deadline) {
      Refuse(*attempt, shard_reason::kDeadline);
      continue;
    }
    SendNext(*connection, std::move(*attempt), now);
  }
  SendCancels();
  MaintainPool(port_.Now());
}

void upstream_dispatcher::CheckProcessPause(monotonic_time now) {
  const bool paused = last_active_at_ != monotonic_time{} &&
                      now - last_active_at_ >= settings_.max_process_pause;
  last_active_at_ = now;
  // During the pause another instance may have taken over, and the upstream may
  // have restarted.
  if (paused) control_.ResetToUnknown(phase_cause::kPaused, now);
}

bool upstream_dispatcher::IsIdle() const {
  return queue_.Empty() && !exchanges_.HasUnreportedWork();
}

upstream_dispatcher::summary upstream_dispatcher::Summary() const {
  summary result;
  result.phase = control_.Phase();
  result.cause = control_.Cause();
  result.limit = control_.Limit();
  result.in_flight = control_.InFlight();
  result.unproven = control_.Unproven();
  result.connections = pool_.CountOpen();
  result.retired_connections = pool_.CountRetired();
  result.queued = queue_.Size();
  result.blocked = gate_.BlockReason(control_.Phase(), port_.Now())
                       .value_or(shard_reason::kNone);
  return result;
}

void upstream_dispatcher::SendNext(
    const connection_pool::connection& connection, queued_attempt attempt,
    monotonic_time now) {
  const std::uint64_t id = port_.NextId();
  // The fence of the next steward relies on the requests of a cold start ending
  // within this time.
  const bool warm = control_.Phase() == steward_phase::kWarm;
  if (!warm) attempt.deadline = std::min(attempt.deadline, now + bounds_.cold);
  monotonic_time not_after =
      std::min(attempt.deadline, now + settings_.max_send_delay);
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
  const auto ahead = static_cast<int>(
      queue_.CountAhead(attempt.batch->priority, attempt.flow));
  const int limit = std::max(control_.Limit(), 1);
  const auto wait = control_.ResponseTimes().RecentMean() * (ahead / limit);
  return now + wait + ExpectedResponseTime() < attempt.deadline;
}

std::chrono::microseconds upstream_dispatcher::ExpectedResponseTime() const {
  // An idle upstream is always tried. If the estimate refused all work, it
  // would never be corrected.
  if (control_.InFlight() == 0) return std::chrono::microseconds(0);
  return control_.ResponseTimes().RecentMean();
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

}  // namespace papayaglade
