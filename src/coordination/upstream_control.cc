#include "coordination/upstream_control.h"

#include <algorithm>

namespace papayaglade {

namespace {

constexpr std::size_t kPastIncarnations = 8;

bool IsWorkingPhase(steward_phase phase) {
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
      growth_(limits.cold_slots, limits.slots, settings.growth),
      next_pause_(settings.shortest_pause) {}

bool upstream_control::MaySend(bool verified, monotonic_time now) const {
  if (!Working() || now < paused_until_) return false;
  if (ledger_.Count() >= growth_.Limit()) return false;
  // A restarted process is reached only by connections made after its start,
  // and none of them has had an answer of the known incarnation. So a bound on
  // such connections bounds what a restart without warning can receive.
  return verified || ledger_.CountUnverified() < growth_.Floor();
}

void upstream_control::OnSent(std::uint64_t exchange_id,
                              monotonic_time deadline, bool verified) {
  ledger_.Add(exchange_id, deadline + settings_.unproven_margin, verified);
}

void upstream_control::OnAnswered(std::uint64_t exchange_id,
                                  const std::string& incarnation,
                                  std::chrono::microseconds took,
                                  monotonic_time now) {
  const auto entry = ledger_.Remove(exchange_id);
  CheckIncarnation(incarnation, now);
  if (!entry.has_value() || !Working()) return;
  const bool slow = times_.Slow(took);
  times_.Add(took, phase_ == steward_phase::kWarm);
  if (times_.FarOff() && !growth_.AtFloor()) {
    return FallBack(steward_phase::kCold, phase_cause::kSlowReplies, now);
  }
  if (phase_ == steward_phase::kUnknown) {
    // Time before the first answer is no evidence of warmth.
    fell_at_ = now;
    UpdatePhase(now);
  }
  // A slow success proves no more than a cold start does.
  if (slow || health_says_cold_) return;
  next_pause_ = settings_.shortest_pause;
  ++successes_since_fall_;
  growth_.OnSuccess(entry->in_flight_at_sending, now);
  UpdatePhase(now);
}

void upstream_control::OnRefused(std::uint64_t exchange_id,
                                 upstream_reply_code code, monotonic_time now) {
  ledger_.Remove(exchange_id);
  if (code == upstream_reply_code::kLeaving) {
    cause_ = phase_cause::kLeavingSign;
    leaving_since_ = now;
    return StartLeaving();
  }
  if (!Working()) return;
  const bool at_floor = growth_.AtFloor();
  if (code == upstream_reply_code::kCold) {
    FallBack(steward_phase::kCold, phase_cause::kRefusedCold, now);
  } else {
    growth_.Lower(now);
    fell_at_ = now;
    successes_since_fall_ = 0;
    cause_ = phase_cause::kShed;
    UpdatePhase(now);
  }
  // Even the floor was too much, so only waiting is left.
  if (at_floor) Pause(now);
}

void upstream_control::OnEnded(std::uint64_t exchange_id) {
  ledger_.Remove(exchange_id);
}

void upstream_control::OnUnproven(std::uint64_t exchange_id) {
  ledger_.MarkUnproven(exchange_id);
}

void upstream_control::OnHealth(const upstream_health& health,
                                monotonic_time now) {
  if (phase_ == steward_phase::kLeaving) {
    return OnHealthWhileLeaving(health, now);
  }
  health_says_cold_ = health.phase == upstream_phase::kCold;
  if (health.phase == upstream_phase::kLeaving) {
    health_said_leaving_ = true;
    cause_ = phase_cause::kLeavingSign;
    leaving_since_ = now;
    return StartLeaving();
  }
  // A lagging endpoint may still name a process that is gone; a first word on
  // the incarnation must come from a reply to work.
  if (!incarnation_.empty() && !Known(health.incarnation)) {
    CheckIncarnation(health.incarnation, now);
  }
  const bool above_floor = Working() && !growth_.AtFloor();
  if (health_says_cold_ && (above_floor || phase_ == steward_phase::kWarm)) {
    FallBack(steward_phase::kCold, phase_cause::kHealthCold, now);
  }
}

void upstream_control::OnRestartSign(phase_cause cause, monotonic_time now) {
  if (!Working()) return;
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
  const bool away =
      phase_ == steward_phase::kSilent || phase_ == steward_phase::kLost;
  if (away) Forget(phase_cause::kReturned, now);
}

void upstream_control::Forget(phase_cause cause, monotonic_time now) {
  health_said_leaving_ = false;
  FallBack(steward_phase::kUnknown, cause, now);
}

void upstream_control::OnTick(monotonic_time now) {
  ledger_.Expire(now);
  const bool long_cold = phase_ == steward_phase::kCold &&
                         now - cold_since_ >= settings_.forget_speed;
  // An index that grew may never be as fast again.
  if (long_cold) times_.ForgetWarm();
}

void upstream_control::SetLimits(const upstream_limits& limits) {
  limits_ = limits;
  growth_.SetBounds(limits.cold_slots, limits.slots);
}

upstream_state upstream_control::Report(monotonic_time now) const {
  upstream_state state;
  state.phase = phase_;
  state.limit = growth_.Limit();
  state.incarnation = incarnation_;
  state.typical_time = times_.Warm();
  for (const in_flight_ledger::entry& each : ledger_.Entries()) {
    const auto left = std::max(each.ends_by - now, monotonic_time::duration(0));
    state.in_flight.push_back(
        std::chrono::duration_cast<std::chrono::microseconds>(left));
  }
  return state;
}

void upstream_control::Adopt(const upstream_state& state, monotonic_time now) {
  for (const std::chrono::microseconds left : state.in_flight) {
    ledger_.AddForeign(now + left);
  }
  if (state.phase == steward_phase::kLeaving) {
    incarnation_ = state.incarnation;
    leaving_since_ = now;
    return StartLeaving();
  }
  const bool other_life =
      !incarnation_.empty() && incarnation_ != state.incarnation;
  const bool own_signs = cause_ != phase_cause::kFirstContact &&
                         cause_ != phase_cause::kStandingLost;
  if (other_life || own_signs || !Working()) return;
  if (!IsWorkingPhase(state.phase)) return;
  incarnation_ = state.incarnation;
  times_.AdoptWarm(state.typical_time);
  growth_.Adopt(state.limit, state.phase == steward_phase::kWarm, now);
  UpdatePhase(now);
}

bool upstream_control::Working() const { return IsWorkingPhase(phase_); }

void upstream_control::FallBack(steward_phase phase, phase_cause cause,
                                monotonic_time now) {
  if (phase_ != steward_phase::kCold) cold_since_ = now;
  phase_ = phase;
  cause_ = cause;
  fell_at_ = now;
  successes_since_fall_ = 0;
  times_.ForgiveSlow();
  growth_.Reset(
      now, times_.WarmKnown() ? settings_.return_dwell : settings_.first_dwell);
}

void upstream_control::CheckIncarnation(const std::string& incarnation,
                                        monotonic_time now) {
  if (incarnation.empty() || incarnation == incarnation_) return;
  const bool first = incarnation_.empty();
  if (!first) past_incarnations_.push_back(incarnation_);
  if (past_incarnations_.size() > kPastIncarnations) {
    past_incarnations_.erase(past_incarnations_.begin());
  }
  incarnation_ = incarnation;
  if (!first && Working()) {
    FallBack(steward_phase::kCold, phase_cause::kIncarnationChanged, now);
  }
}

void upstream_control::UpdatePhase(monotonic_time now) {
  if (!Working()) return;
  const steward_phase before = phase_;
  const bool settled = successes_since_fall_ >= settings_.settled_successes &&
                       now - fell_at_ >= settings_.settled;
  if (growth_.ProvenAtCeiling() || settled) {
    phase_ = steward_phase::kWarm;
  } else {
    phase_ = growth_.AtFloor() ? steward_phase::kCold : steward_phase::kWarming;
  }
  const bool newly_cold =
      phase_ == steward_phase::kCold && before != steward_phase::kCold;
  if (newly_cold) cold_since_ = now;
}

void upstream_control::Pause(monotonic_time now) {
  paused_until_ = now + next_pause_;
  next_pause_ = std::min(next_pause_ * 2, settings_.longest_pause);
}

void upstream_control::StartLeaving() { phase_ = steward_phase::kLeaving; }

void upstream_control::OnHealthWhileLeaving(const upstream_health& health,
                                            monotonic_time now) {
  if (health.phase == upstream_phase::kLeaving) {
    health_said_leaving_ = true;
    leaving_since_ = now;
    return;
  }
  if (incarnation_.empty()) {
    incarnation_ = health.incarnation;
    return;
  }
  // The endpoint may lag behind the refusal that told of the leaving. So its
  // word is taken only when it has caught up once, names a process not seen
  // before, or the hold has passed.
  const bool caught_up = health_said_leaving_;
  const bool held = now - leaving_since_ >= settings_.leaving_hold;
  const bool other_life = !Known(health.incarnation);
  if (!caught_up && !held && !other_life) return;
  CheckIncarnation(health.incarnation, now);
  Forget(phase_cause::kReturned, now);
}

bool upstream_control::Known(const std::string& incarnation) const {
  return incarnation == incarnation_ ||
         std::count(past_incarnations_.begin(), past_incarnations_.end(),
                    incarnation) != 0;
}

}  // namespace papayaglade
