#include <cstdint>
#include <utility>

#include "coordination/upstream_dispatcher.h"

namespace papayaglade {

void upstream_dispatcher::MaintainPool(monotonic_time now) {
  if (!gate_.IsServing()) return;
  const bool working = !ReasonForPhase(control_.Phase()).has_value();
  // A connection whose exchange was cancelled may never become idle again.
  const int wanted = working ? control_.Limit() + exchanges_.CountEnded() : 0;
  while (pool_.ShouldOpen(wanted, now)) {
    const std::uint64_t id = port_.NextId();
    const open_connection command{id, definition_.address,
                                  settings_.connect_timeout};
    if (!port_.Open(command)) return;
    pool_.OnOpening(id, now);
  }
  while (const auto surplus = pool_.FindSurplus(wanted, now)) {
    CloseConnection(*surplus);
  }
}

void upstream_dispatcher::CloseIdleConnections() {
  const auto connections = pool_.Connections();
  for (const connection_pool::connection& each : connections) {
    const bool idle = each.state == connection_pool::connection::usage::kIdle;
    if (idle) CloseConnection(each.id);
  }
}

void upstream_dispatcher::CloseConnection(std::uint64_t connection_id) {
  port_.Close(connection_id);
  pool_.OnClosed(connection_id);
}

void upstream_dispatcher::OnExchangeFinished(const exchange_reply& event,
                                             const upstream_exchange& done,
                                             monotonic_time now) {
  health_.OnReply(now);
  // A process that no longer listens may still answer on existing connections.
  const bool lost = control_.Phase() == steward_phase::kLost;
  if (!lost) control_.OnReachable(now);
  const bool moved = event.connection_id < first_current_id_;
  if (event.keep_alive && !moved) {
    pool_.OnIdle(event.connection_id, done.kind == exchange_kind::kWork, now);
  } else {
    CloseConnection(event.connection_id);
    // Several connections closed within a short time, so check the health now.
    if (!moved && restart_detector_.OnClose(now)) health_.ScheduleAt(now);
  }
  if (lost || !gate_.IsServing()) CloseIdleConnections();
  DispatchQueued();
}

void upstream_dispatcher::OnConnectionReset(bool busy, monotonic_time now) {
  if (!restart_detector_.OnReset(busy, pool_.CountOpen(), now)) return;
  control_.OnPossibleRestart(phase_cause::kConnectionReset, now);
  pool_.UnverifyAllExcept(0);
}

void upstream_dispatcher::CheckOverdue(monotonic_time now) {
  for (const std::uint64_t id : exchanges_.ListOverdue(now)) {
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
    // The upstream has acknowledged that it received and ended this attempt, so
    // the missing reply is no sign of silence.
    return CloseConnection(exchanges_.Take(late.id).connection_id);
  }
  if (!late.reported) {
    ReportLost(late, shard_reason::kDeadline);
    cancels_.Add(late.work);
  }
  const monotonic_time deadline = late.work.deadline;
  if (now < deadline + settings_.control.deadline_margin) return;
  control_.OnUnproven(late.id);
  const upstream_exchange lost = exchanges_.Take(late.id);
  // The connection is closed with a reset, so that none of its data is
  // delivered later. The far end may never receive the reset and keep the
  // connection.
  port_.Close(lost.connection_id);
  pool_.Retire(lost.connection_id, now);
  // If other connections have had replies since, only this one is at fault.
  if (health_.LastReply() < lost.sent) health_.ScheduleAt(now);
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
  if (!health_.IsDue(now)) return;
  if (exchanges_.HasKind(exchange_kind::kHealth)) return;
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
