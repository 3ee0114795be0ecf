#include "coordination/upstream_control.h"

#include <algorithm>

namespace papayaglade {

namespace {

constexpr std::size_t kMaxPastIncarnations = 8;

bool IsServingPhase(steward_phase phase) {
  return phase == steward_phase::kUnknown || phase == steward_phase::kCold ||
         phase == steward_phase::kWarming || phase == steward_phase::kWarm;
}

}  // namespace

const char* PhaseCauseName(phase_cause cause) {
  switch (cause) {
    case phase_cause::kNone:
      return "none";
    case phase_cause::kFirstContact:
      return "first_contact";
    case phase_cause::kConnectionRefused:
      return "connection_refused";
    case phase_cause::kConnectionReset:
      return "connection_reset";
    case phase_cause::kIncarnationChanged:
      return "incarnation_changed";
    case phase_cause::kHealthCold:
      return "health_cold";
    case phase_cause::kRefusedCold:
      return "refused_cold";
    case phase_cause::kShed:
      return "shed";
    case phase_cause::kSlowReplies:
      return "slow_replies";
    case phase_cause::kLeavingSign:
      return "leaving_sign";
    case phase_cause::kNoAnswer:
      return "no_answer";
    case phase_cause::kStandingLost:
      return "standing_lost";
    case phase_cause::kPaused:
      return "paused";
    case phase_cause::kReturned:
      return "returned";
  }
  return "none";
}

upstream_control::upstream_control(const upstream_limits& limits,
                                   const upstream_control_settings& settings)
    : limits_(limits),
      settings_(settings),
      slow_start_(limits.cold_slots, limits.slots, settings.growth),
      next_pause_(settings.min_pause) {}

bool upstream_control::MaySend(bool verified, monotonic_time now) const {
  if (!IsServing() || now < paused_until_) return false;
  if (in_flight_.Count() >= slow_start_.Limit()) return false;
  // Only connections opened after its start reach a restarted process, and on
  // none of them has the known incarnation answered. Limiting the requests on
  // unverified connections therefore limits what an upstream receives after an
  // undetected restart.
  return verified || in_flight_.CountUnverified() < slow_start_.Floor();
}

void upstream_control::OnSent(std::uint64_t exchange_id,
                              monotonic_time deadline, bool verified) {
  in_flight_.Add(exchange_id, deadline + settings_.deadline_margin, verified);
}

void upstream_control::OnAnswered(std::uint64_t exchange_id,
                                  const std::string& incarnation,
                                  std::chrono::microseconds took,
                                  monotonic_time now) {
  const auto entry = in_flight_.Remove(exchange_id);
  UpdateIncarnation(incarnation, now);
  if (!entry.has_value() || !IsServing()) return;
  const bool slow = response_times_.IsSlow(took);
  response_times_.Add(took, phase_ == steward_phase::kWarm);
  if (response_times_.HasSlowStreak() && !slow_start_.AtFloor()) {
    return FallBack(steward_phase::kCold, phase_cause::kSlowReplies, now);
  }
  if (phase_ == steward_phase::kUnknown) {
    // The time before the first answer does not show that the upstream is warm.
    fell_back_at_ = now;
    UpdatePhase(now);
  }
  // A slow success does not show that the upstream is warm.
  if (slow || health_reports_cold_) return;
  next_pause_ = settings_.min_pause;
  ++successes_since_fallback_;
  slow_start_.OnSuccess(entry->in_flight_at_send, now);
  UpdatePhase(now);
}

void upstream_control::OnRefused(std::uint64_t exchange_id,
                                 upstream_reply_code code, monotonic_time now) {
  in_flight_.Remove(exchange_id);
  if (code == upstream_reply_code::kLeaving) {
    cause_ = phase_cause::kLeavingSign;
    leaving_since_ = now;
    return StartLeaving();
  }
  if (!IsServing()) return;
  const bool at_floor = slow_start_.AtFloor();
  if (code == upstream_reply_code::kCold) {
    FallBack(steward_phase::kCold, phase_cause::kRefusedCold, now);
  } else {
    slow_start_.HalveLimit(now);
    fell_back_at_ = now;
    successes_since_fallback_ = 0;
    cause_ = phase_cause::kShed;
    UpdatePhase(now);
  }
  // The upstream refused at the minimum limit, so the only remedy is to wait.
  if (at_floor) StartPause(now);
}

void upstream_control::OnEnded(std::uint64_t exchange_id) {
  in_flight_.Remove(exchange_id);
}

void upstream_control::OnUnproven(std::uint64_t exchange_id) {
  in_flight_.MarkUnproven(exchange_id);
}

void upstream_control::OnHealth(const upstream_health& health,
                                monotonic_time now) {
  if (phase_ == steward_phase::kLeaving) {
    return OnHealthWhileLeaving(health, now);
  }
  health_reports_cold_ = health.phase == upstream_phase::kCold;
  if (health.phase == upstream_phase::kLeaving) {
    health_reported_leaving_ = true;
    cause_ = phase_cause::kLeavingSign;
    leaving_since_ = now;
    return StartLeaving();
  }
  // A lagging health endpoint may still name a terminated process, so the first
  // known incarnation has to come from a reply to work.
  if (!incarnation_.empty() && !IsKnownIncarnation(health.incarnation)) {
    UpdateIncarnation(health.incarnation, now);
  }
  const bool above_floor = IsServing() && !slow_start_.AtFloor();
  if (health_reports_cold_ && (above_floor || phase_ == steward_phase::kWarm)) {
    FallBack(steward_phase::kCold, phase_cause::kHealthCold, now);
  }
}

void upstream_control::OnPossibleRestart(phase_cause cause,
                                         monotonic_time now) {
  if (!IsServing()) return;
  FallBack(steward_phase::kCold, cause, now);
}

void upstream_control::OnSilent() {
  if (phase_ == steward_phase::kLost) return;
  phase_ = steward_phase::kSilent;
  cause_ = phase_cause::kNoAnswer;
}

void upstream_control::OnLost(monotonic_time now) {
  if (phase_ == steward_phase::kLost) return;
  FallBack(steward_phase::kLost, phase_cause::kConnectionRefused, now);
}

void upstream_control::OnReachable(monotonic_time now) {
  const bool was_unreachable =
      phase_ == steward_phase::kSilent || phase_ == steward_phase::kLost;
  if (was_unreachable) ResetToUnknown(phase_cause::kReturned, now);
}

void upstream_control::ResetToUnknown(phase_cause cause, monotonic_time now) {
  health_reported_leaving_ = false;
  FallBack(steward_phase::kUnknown, cause, now);
}

void upstream_control::OnTick(monotonic_time now) {
  in_flight_.Expire(now);
  const bool cold_too_long = phase_ == steward_phase::kCold &&
                             now - cold_since_ >= settings_.warm_time_retention;
  // An upstream whose index has grown may never be as fast again.
  if (cold_too_long) response_times_.ClearWarmMedian();
}

void upstream_control::SetLimits(const upstream_limits& limits) {
  limits_ = limits;
  slow_start_.SetBounds(limits.cold_slots, limits.slots);
}

upstream_state upstream_control::ExportState(monotonic_time now) const {
  upstream_state state;
  state.phase = phase_;
  state.limit = slow_start_.Limit();
  state.incarnation = incarnation_;
  state.typical_time = response_times_.WarmMedian();
  for (const in_flight_requests::entry& each : in_flight_.Entries()) {
    const auto left = std::max(each.ends_by - now, monotonic_time::duration(0));
    state.in_flight.push_back(
        std::chrono::duration_cast<std::chrono::microseconds>(left));
  }
  return state;
}

void upstream_control::ImportState(const upstream_state& state,
                                   monotonic_time now) {
  for (const std::chrono::microseconds left : state.in_flight) {
    in_flight_.AddForeign(now + left);
  }
  if (state.phase == steward_phase::kLeaving) {
    incarnation_ = state.incarnation;
    leaving_since_ = now;
    return StartLeaving();
  }
  const bool is_other_incarnation =
      !incarnation_.empty() && incarnation_ != state.incarnation;
  const bool has_own_evidence = cause_ != phase_cause::kFirstContact &&
                                cause_ != phase_cause::kStandingLost;
  if (is_other_incarnation || has_own_evidence || !IsServing()) return;
  if (!IsServingPhase(state.phase)) return;
  incarnation_ = state.incarnation;
  response_times_.SetWarmMedian(state.typical_time);
  slow_start_.RestoreLimit(state.limit, state.phase == steward_phase::kWarm,
                           now);
  UpdatePhase(now);
}

bool upstream_control::IsServing() const { return IsServingPhase(phase_); }

void upstream_control::FallBack(steward_phase phase, phase_cause cause,
                                monotonic_time now) {
  if (phase_ != steward_phase::kCold) cold_since_ = now;
  phase_ = phase;
  cause_ = cause;
  fell_back_at_ = now;
  successes_since_fallback_ = 0;
  response_times_.ResetSlowStreak();
  slow_start_.Reset(now, response_times_.HasWarmMedian()
                             ? settings_.min_return_cold_time
                             : settings_.min_first_cold_time);
}

void upstream_control::UpdateIncarnation(const std::string& incarnation,
                                         monotonic_time now) {
  if (incarnation.empty() || incarnation == incarnation_) return;
  const bool first = incarnation_.empty();
  if (!first) past_incarnations_.push_back(incarnation_);
  if (past_incarnations_.size() > kMaxPastIncarnations) {
    past_incarnations_.erase(past_incarnations_.begin());
  }
  incarnation_ = incarnation;
  if (!first && IsServing()) {
    FallBack(steward_phase::kCold, phase_cause::kIncarnationChanged, now);
  }
}

void upstream_control::UpdatePhase(monotonic_time now) {
  if (!IsServing()) return;
  const steward_phase before = phase_;
  const bool settled =
      successes_since_fallback_ >= settings_.settle_successes &&
      now - fell_back_at_ >= settings_.settle_time;
  if (slow_start_.ProvenAtCeiling() || settled) {
    phase_ = steward_phase::kWarm;
  } else {
    phase_ =
        slow_start_.AtFloor() ? steward_phase::kCold : steward_phase::kWarming;
  }
  const bool newly_cold =
      phase_ == steward_phase::kCold && before != steward_phase::kCold;
  if (newly_cold) cold_since_ = now;
}

void upstream_control::StartPause(monotonic_time now) {
  paused_until_ = now + next_pause_;
  next_pause_ = std::min(next_pause_ * 2, settings_.max_pause);
}

void upstream_control::StartLeaving() { phase_ = steward_phase::kLeaving; }

void upstream_control::OnHealthWhileLeaving(const upstream_health& health,
                                            monotonic_time now) {
  if (health.phase == upstream_phase::kLeaving) {
    health_reported_leaving_ = true;
    leaving_since_ = now;
    return;
  }
  if (incarnation_.empty()) {
    incarnation_ = health.incarnation;
    return;
  }
  // The health endpoint may lag behind the refusal that announced the leaving.
  // Its reply therefore counts only if an earlier reply has reported the
  // leaving, if it names an unknown process, or after max_leaving_time.
  const bool caught_up = health_reported_leaving_;
  const bool hold_expired = now - leaving_since_ >= settings_.max_leaving_time;
  const bool is_other_incarnation = !IsKnownIncarnation(health.incarnation);
  if (!caught_up && !hold_expired && !is_other_incarnation) return;
  UpdateIncarnation(health.incarnation, now);
  ResetToUnknown(phase_cause::kReturned, now);
}

bool upstream_control::IsKnownIncarnation(
    const std::string& incarnation) const {
  return incarnation == incarnation_ ||
         std::count(past_incarnations_.begin(), past_incarnations_.end(),
                    incarnation) != 0;
}

}  // namespace papayaglade
