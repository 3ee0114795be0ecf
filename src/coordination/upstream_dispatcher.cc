#include "coordination/upstream_dispatcher.h"

#include <algorithm>
#include <utility>

namespace papayaglade {

namespace {

constexpr std::chrono::milliseconds kResetWindow{1000};
constexpr std::chrono::milliseconds kCloseSignWindow{1000};
constexpr std::chrono::milliseconds kEndedGrace{100};
// An upstream slow to notice a deadline may still be told.
constexpr std::chrono::milliseconds kCancelWorth{500};
constexpr std::size_t kCancelsAtOnce = 64;
constexpr int kUnansweredChecks = 2;

std::chrono::microseconds Microseconds(monotonic_time::duration time) {
  return std::chrono::duration_cast<std::chrono::microseconds>(time);
}

shard_reason ReasonOf(upstream_verdict verdict) {
  switch (verdict) {
    case upstream_verdict::kCold:
      return shard_reason::kCold;
    case upstream_verdict::kLeaving:
      return shard_reason::kLeaving;
    case upstream_verdict::kShed:
      return shard_reason::kUpstreamRefused;
    case upstream_verdict::kMalformed:
      return shard_reason::kUpstreamError;
    case upstream_verdict::kAnswered:
    case upstream_verdict::kSnapshotGone:
      return shard_reason::kNone;
  }
  return shard_reason::kNone;
}

shard_status StatusOf(upstream_verdict verdict) {
  switch (verdict) {
    case upstream_verdict::kAnswered:
      return shard_status::kAnswered;
    case upstream_verdict::kSnapshotGone:
      return shard_status::kSnapshotGone;
    case upstream_verdict::kMalformed:
      return shard_status::kLost;
    case upstream_verdict::kCold:
    case upstream_verdict::kLeaving:
    case upstream_verdict::kShed:
      return shard_status::kNotRun;
  }
  return shard_status::kLost;
}

}  // namespace

upstream_dispatcher::upstream_dispatcher(
    upstream_definition definition,
    const upstream_dispatcher_settings& settings,
    const steward_standing& standing, dispatch_port& port, std::uint64_t seed)
    : definition_(std::move(definition)),
      settings_(settings),
      standing_(standing),
      port_(port),
      control_(definition_.limits, settings.control),
      queue_(settings.queue),
      pool_(definition_.limits.connections, settings.pool, seed),
      probe_wait_(settings.health_period) {}

void upstream_dispatcher::Enqueue(queued_attempt attempt) {
  const monotonic_time now = port_.Now();
  if (const auto reason = Blocked(now)) return Refuse(attempt, *reason);
  if (!CanMeetDeadline(attempt, now)) {
    const bool cold = control_.Phase() == steward_phase::kCold;
    return Refuse(attempt,
                  cold ? shard_reason::kCold : shard_reason::kDeadline);
  }
  attempt.arrival = now;
  const auto dropped = queue_.Push(std::move(attempt));
  if (dropped.has_value()) Refuse(*dropped, shard_reason::kQueueFull);
}

bool upstream_dispatcher::Cancel(const attempt_key& key) {
  if (const auto waiting = queue_.Remove(key)) {
    Refuse(*waiting, shard_reason::kCancelled);
    return true;
  }
  for (exchange& each : exchanges_) {
    if (each.kind != exchange_kind::kWork || each.reported) continue;
    if (!(each.work.Key() == key)) continue;
    cancels_.push_back(each.work);
    ReportLost(each, shard_reason::kCancelled);
    return true;
  }
  return false;
}

void upstream_dispatcher::OnOpened(std::uint64_t connection_id) {
  const monotonic_time now = port_.Now();
  if (pool_.Find(connection_id) == nullptr) return port_.Close(connection_id);
  pool_.OnOpened(connection_id, now);
  if (control_.Phase() == steward_phase::kLost) control_.OnReachable(now);
  // A connection to a silent upstream proves nothing yet: ask on it.
  if (control_.Phase() == steward_phase::kSilent) health_due_ = now;
  Pump();
}

void upstream_dispatcher::OnFailed(const connection_failed& event) {
  const auto* connection = pool_.Find(event.connection_id);
  if (connection == nullptr) return;
  const bool opening =
      connection->state == connection_pool::connection::use::kOpening;
  const exchange* const broken = FindOn(event.connection_id);
  if (broken != nullptr && broken->kind == exchange_kind::kWork) {
    OnWorkBroken(Take(broken->id), event);
  } else {
    if (broken != nullptr) Take(broken->id);
    OnConnectionLost(event, opening, port_.Now());
  }
  Pump();
}

void upstream_dispatcher::OnWorkBroken(exchange lost,
                                       const connection_failed& event) {
  pool_.OnClosed(event.connection_id);
  // A connection that failed while idle never took up this work.
  const bool taken_up = event.exchange_id == lost.id;
  if (taken_up && !event.nothing_sent) {
    control_.OnUnproven(lost.id);
    ReportLost(lost, shard_reason::kUpstreamLost);
    return NoteReset(true, port_.Now());
  }
  control_.OnEnded(lost.id);
  const bool too_late = event.how == connection_failure::kTimedOut;
  if (!lost.reported) {
    Refuse(lost.work,
           too_late ? shard_reason::kDeadline : shard_reason::kUpstreamLost);
  }
  // Work that this process held too long says nothing of the upstream.
  if (!too_late) NoteReset(false, port_.Now());
}

void upstream_dispatcher::OnConnectionLost(const connection_failed& event,
                                           bool opening, monotonic_time now) {
  if (event.how == connection_failure::kRefused) {
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

std::optional<upstream_dispatcher::exchange_kind> upstream_dispatcher::KindOf(
    std::uint64_t exchange_id) const {
  for (const exchange& each : exchanges_) {
    if (each.id == exchange_id) return each.kind;
  }
  return std::nullopt;
}

void upstream_dispatcher::OnWorkReply(const exchange_reply& event,
                                      upstream_reply reply) {
  if (Find(event.exchange_id) == nullptr) return;
  const monotonic_time now = port_.Now();
  const exchange done = Take(event.exchange_id);
  const auto took = Microseconds(now - done.sent);
  const std::string known = control_.Incarnation();
  switch (reply.verdict) {
    case upstream_verdict::kAnswered:
      control_.OnAnswered(done.id, reply.incarnation, took, now);
      if (!known.empty() && known != reply.incarnation) {
        pool_.UnverifyAllBut(done.connection_id);
      }
      pool_.Verify(done.connection_id);
      break;
    case upstream_verdict::kSnapshotGone:
    case upstream_verdict::kMalformed:
      control_.OnEnded(done.id);
      break;
    case upstream_verdict::kShed:
    case upstream_verdict::kCold:
    case upstream_verdict::kLeaving:
      control_.OnRefused(done.id, reply.verdict, now);
      break;
  }
  if (!done.reported) FinishWork(done, std::move(reply), took);
  Finished(event, done, now);
}

void upstream_dispatcher::FinishWork(const exchange& done, upstream_reply reply,
                                     std::chrono::microseconds took) {
  shard_result result;
  result.status = StatusOf(reply.verdict);
  result.reason = ReasonOf(reply.verdict);
  result.snapshot = reply.snapshot;
  result.hits = std::move(reply.hits);
  result.snapshots_held = std::move(reply.snapshots_held);
  result.queue_time = Microseconds(done.sent - done.work.arrival);
  result.upstream_time = took;
  port_.Finish(done.work, std::move(result));
}

void upstream_dispatcher::OnHealthReply(
    const exchange_reply& event, const std::optional<upstream_health>& health) {
  if (Find(event.exchange_id) == nullptr) return;
  const monotonic_time now = port_.Now();
  const exchange done = Take(event.exchange_id);
  if (health.has_value()) control_.OnHealth(*health, now);
  Finished(event, done, now);
}

std::vector<queued_attempt> upstream_dispatcher::CancelledBy(
    std::uint64_t exchange_id) const {
  for (const exchange& each : exchanges_) {
    if (each.id == exchange_id) return each.cancelled;
  }
  return {};
}

void upstream_dispatcher::OnCancelReply(const exchange_reply& event,
                                        const std::vector<attempt_key>& ended) {
  if (Find(event.exchange_id) == nullptr) return;
  const monotonic_time now = port_.Now();
  const exchange done = Take(event.exchange_id);
  for (exchange& each : exchanges_) {
    if (each.kind != exchange_kind::kWork) continue;
    const attempt_key key = each.work.Key();
    if (std::find(ended.begin(), ended.end(), key) == ended.end()) continue;
    control_.OnEnded(each.id);
    each.ended = true;
    each.due = now + kEndedGrace;
  }
  Finished(event, done, now);
}

void upstream_dispatcher::OnTick() {
  const monotonic_time now = port_.Now();
  control_.OnTick(now);
  for (const queued_attempt& late : queue_.TakeDue(now)) {
    const bool cold = control_.Phase() == steward_phase::kCold;
    Refuse(late, cold ? shard_reason::kCold : shard_reason::kDeadline);
  }
  CheckOverdue(now);
  DropEndedCancels(now);
  Pump();
  PollHealth(now);
}

void upstream_dispatcher::OnStandingChanged() {
  const bool holds = standing_.Holds(definition_.name);
  const bool newer = released_at_epoch_.has_value() &&
                     standing_.RosterEpoch() > *released_at_epoch_;
  if (newer) released_at_epoch_.reset();
  if (held_ && !holds) {
    control_.Forget(phase_cause::kStandingLost, port_.Now());
    CloseIdle();
  }
  held_ = holds;
  Pump();
}

void upstream_dispatcher::SetDataCentreOut(bool out) {
  if (out == out_) return;
  out_ = out;
  control_.Forget(phase_cause::kReturned, port_.Now());
  if (out) CloseIdle();
  Pump();
}

void upstream_dispatcher::SetDefinition(const upstream_definition& definition) {
  const bool moved = definition.address != definition_.address;
  definition_ = definition;
  control_.SetLimits(definition.limits);
  pool_.SetLimit(definition.limits.connections);
  if (!moved) return;
  control_.Forget(phase_cause::kFirstContact, port_.Now());
  pool_.UnverifyAllBut(0);
  CloseIdle();
}

upstream_state upstream_dispatcher::Release() {
  const monotonic_time now = port_.Now();
  upstream_state state = control_.Report(now);
  released_at_epoch_ = standing_.RosterEpoch();
  RefuseAll(shard_reason::kNotSteward);
  control_.Forget(phase_cause::kStandingLost, now);
  CloseIdle();
  return state;
}

void upstream_dispatcher::Adopt(const upstream_state& state) {
  control_.Adopt(state, port_.Now());
  Pump();
}

void upstream_dispatcher::Pump() {
  while (!queue_.Empty()) {
    // The clock is read anew for each send: the process may have been paused
    // anywhere before this line.
    const monotonic_time now = port_.Now();
    if (const auto reason = Blocked(now)) {
      RefuseAll(*reason);
      break;
    }
    const auto connection = pool_.PickForWork();
    if (!connection.has_value()) break;
    if (!control_.MaySend(connection->verified, now)) break;
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

bool upstream_dispatcher::Idle() const {
  const bool running = std::any_of(
      exchanges_.begin(), exchanges_.end(), [](const exchange& each) {
        return each.kind == exchange_kind::kWork && !each.reported;
      });
  return queue_.Empty() && !running;
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
  now_here.blocked = Blocked(port_.Now()).value_or(shard_reason::kNone);
  return now_here;
}

std::optional<shard_reason> upstream_dispatcher::Blocked(
    monotonic_time now) const {
  if (out_) return shard_reason::kDataCentreOut;
  if (!held_ || released_at_epoch_.has_value()) {
    return shard_reason::kNotSteward;
  }
  if (const auto reason = BlockedByPhase()) return reason;
  if (standing_.Fenced(definition_.name, now)) {
    return shard_reason::kStandingUnproven;
  }
  // Two senders to a warm upstream meet its shedding; two senders to a cold
  // one break it.
  const bool warm = control_.Phase() == steward_phase::kWarm;
  if (!warm && !standing_.Proven(now)) return shard_reason::kStandingUnproven;
  return std::nullopt;
}

std::optional<shard_reason> upstream_dispatcher::BlockedByPhase() const {
  switch (control_.Phase()) {
    case steward_phase::kLeaving:
      return shard_reason::kLeaving;
    case steward_phase::kSilent:
      return shard_reason::kUpstreamLost;
    case steward_phase::kLost:
      return shard_reason::kUpstreamDown;
    case steward_phase::kUnknown:
    case steward_phase::kCold:
    case steward_phase::kWarming:
    case steward_phase::kWarm:
      return std::nullopt;
  }
  return std::nullopt;
}

void upstream_dispatcher::SendNext(
    const connection_pool::connection& connection, queued_attempt attempt,
    monotonic_time now) {
  const std::uint64_t id = port_.NextId();
  monotonic_time not_after =
      std::min(attempt.deadline, now + settings_.longest_handling);
  if (control_.Phase() != steward_phase::kWarm) {
    not_after = std::min(not_after, standing_.ProvenUntil());
  }
  if (!port_.SendWork(connection.id, id, attempt, now, not_after)) {
    return Refuse(attempt, shard_reason::kQueueFull);
  }
  control_.OnSent(id, attempt.deadline, connection.verified);
  pool_.OnBusy(connection.id);
  exchange sent;
  sent.id = id;
  sent.connection_id = connection.id;
  sent.sent = now;
  sent.due = attempt.deadline;
  sent.work = std::move(attempt);
  exchanges_.push_back(std::move(sent));
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
  shard_result result;
  result.status = shard_status::kNotRun;
  result.reason = reason;
  port_.Finish(attempt, std::move(result));
}

void upstream_dispatcher::ReportLost(exchange& lost, shard_reason reason) {
  if (lost.reported) return;
  lost.reported = true;
  shard_result result;
  result.status = shard_status::kLost;
  result.reason = reason;
  result.upstream_time = Microseconds(port_.Now() - lost.sent);
  port_.Finish(lost.work, std::move(result));
}

void upstream_dispatcher::MaintainPool(monotonic_time now) {
  if (!WantsConnections()) return;
  const bool working = !BlockedByPhase().has_value();
  // A connection whose exchange was cancelled may never be free again.
  const auto ended =
      std::count_if(exchanges_.begin(), exchanges_.end(),
                    [](const exchange& each) { return each.ended; });
  const int wanted = working ? control_.Limit() + static_cast<int>(ended) : 0;
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

bool upstream_dispatcher::WantsConnections() const {
  return held_ && !out_ && !released_at_epoch_.has_value();
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
                                   const exchange& done, monotonic_time now) {
  last_reply_ = now;
  unanswered_checks_ = 0;
  probe_wait_ = settings_.health_period;
  // A process that no longer listens may still answer on old connections.
  const bool lost = control_.Phase() == steward_phase::kLost;
  if (!lost) control_.OnReachable(now);
  if (event.keep_alive) {
    pool_.OnIdle(event.connection_id, done.kind == exchange_kind::kWork, now);
  } else {
    DropConnection(event.connection_id);
    NoteCloseSign(now);
  }
  if (lost || !WantsConnections()) CloseIdle();
  Pump();
}

void upstream_dispatcher::NoteCloseSign(monotonic_time now) {
  // Several connections closed by the upstream in short order look like a
  // drain, so its word is asked for at once.
  if (now - last_close_sign_ < kCloseSignWindow) health_due_ = now;
  last_close_sign_ = now;
}

void upstream_dispatcher::NoteReset(bool busy, monotonic_time now) {
  if (now - last_reset_ >= kResetWindow) resets_ = 0;
  last_reset_ = now;
  ++resets_;
  // One idle connection ends by an idle limit of the far end or of something
  // between; a restart ends every connection.
  const bool most = resets_ >= 2 && resets_ >= pool_.CountOpen();
  const bool none_left = pool_.CountOpen() == 0;
  if (busy || most || none_left) {
    control_.OnRestartSign(phase_cause::kConnectionReset, now);
    pool_.UnverifyAllBut(0);
  }
}

void upstream_dispatcher::CheckOverdue(monotonic_time now) {
  std::vector<std::uint64_t> late;
  for (const exchange& each : exchanges_) {
    if (each.due <= now) late.push_back(each.id);
  }
  for (const std::uint64_t id : late) {
    exchange* const each = Find(id);
    if (each == nullptr) continue;
    if (each->kind == exchange_kind::kWork) {
      OnOverdueWork(*each, now);
    } else {
      const exchange check = Take(id);
      port_.Close(check.connection_id);
      pool_.Retire(check.connection_id, now);
      OnOverdueCheck(check, now);
    }
  }
}

void upstream_dispatcher::OnOverdueWork(exchange& late, monotonic_time now) {
  if (late.ended) {
    // The upstream said that it received and ended this attempt, so there is
    // no sign of silence.
    return DropConnection(Take(late.id).connection_id);
  }
  if (!late.reported) {
    ReportLost(late, shard_reason::kDeadline);
    cancels_.push_back(late.work);
  }
  const monotonic_time deadline = late.work.deadline;
  if (now < deadline + settings_.control.unproven_margin) return;
  control_.OnUnproven(late.id);
  const exchange lost = Take(late.id);
  // Closed with a reset, so that nothing of it is delivered later; the far
  // end may never learn of it and still holds the connection.
  port_.Close(lost.connection_id);
  pool_.Retire(lost.connection_id, now);
  // Answers on other connections put the fault on this one alone.
  if (last_reply_ < lost.sent) health_due_ = now;
}

void upstream_dispatcher::OnOverdueCheck(const exchange& late,
                                         monotonic_time now) {
  if (last_reply_ >= late.sent && late.id != 0) return;
  health_due_ = now;
  if (++unanswered_checks_ < kUnansweredChecks) return;
  control_.OnSilent();
  RefuseAll(shard_reason::kUpstreamLost);
  health_due_ = now + probe_wait_;
  probe_wait_ = std::min(probe_wait_ * 2, settings_.longest_probe_wait);
}

void upstream_dispatcher::DropEndedCancels(monotonic_time now) {
  const auto ended = [now](const queued_attempt& each) {
    return each.deadline + kCancelWorth <= now;
  };
  cancels_.erase(std::remove_if(cancels_.begin(), cancels_.end(), ended),
                 cancels_.end());
}

void upstream_dispatcher::SendCancels() {
  if (cancels_.empty()) return;
  const auto connection = pool_.PickForCheck();
  if (!connection.has_value()) return;
  const std::size_t count = std::min(cancels_.size(), kCancelsAtOnce);
  const auto end = cancels_.begin() + static_cast<std::ptrdiff_t>(count);
  exchange cancel;
  cancel.id = port_.NextId();
  cancel.connection_id = connection->id;
  cancel.kind = exchange_kind::kCancel;
  cancel.sent = port_.Now();
  cancel.due = cancel.sent + settings_.health_timeout;
  cancel.cancelled.assign(cancels_.begin(), end);
  if (!port_.SendCancel(connection->id, cancel.id, cancel.cancelled)) return;
  cancels_.erase(cancels_.begin(), end);
  pool_.OnBusy(connection->id);
  exchanges_.push_back(std::move(cancel));
}

void upstream_dispatcher::PollHealth(monotonic_time now) {
  if (now < health_due_) return;
  const bool polling = std::any_of(
      exchanges_.begin(), exchanges_.end(),
      [](const exchange& each) { return each.kind == exchange_kind::kHealth; });
  if (polling) return;
  const auto connection = pool_.PickForCheck();
  if (!connection.has_value()) return;
  exchange health;
  health.id = port_.NextId();
  health.connection_id = connection->id;
  health.kind = exchange_kind::kHealth;
  health.sent = now;
  health.due = now + settings_.health_timeout;
  if (!port_.SendHealth(connection->id, health.id)) return;
  health_due_ = now + settings_.health_period;
  pool_.OnBusy(connection->id);
  exchanges_.push_back(std::move(health));
}

upstream_dispatcher::exchange* upstream_dispatcher::Find(
    std::uint64_t exchange_id) {
  for (exchange& each : exchanges_) {
    if (each.id == exchange_id) return &each;
  }
  return nullptr;
}

upstream_dispatcher::exchange* upstream_dispatcher::FindOn(
    std::uint64_t connection_id) {
  for (exchange& each : exchanges_) {
    if (each.connection_id == connection_id) return &each;
  }
  return nullptr;
}

upstream_dispatcher::exchange upstream_dispatcher::Take(
    std::uint64_t exchange_id) {
  const auto found = std::find_if(
      exchanges_.begin(), exchanges_.end(),
      [exchange_id](const exchange& each) { return each.id == exchange_id; });
  exchange taken = std::move(*found);
  if (found != exchanges_.end() - 1) *found = std::move(exchanges_.back());
  exchanges_.pop_back();
  return taken;
}

}  // namespace papayaglade
