#include "coordination/admission_gate.h"

#include <utility>

namespace papayaglade {

std::optional<shard_reason> ReasonOfPhase(steward_phase phase) {
  switch (phase) {
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

admission_gate::admission_gate(std::string upstream,
                               const steward_standing& standing)
    : upstream_(std::move(upstream)), standing_(standing) {}

bool admission_gate::OnStandingChanged(monotonic_time now) {
  const bool newer = released_at_epoch_.has_value() &&
                     standing_.RosterEpoch() > *released_at_epoch_;
  if (newer) released_at_epoch_.reset();
  const bool before = std::exchange(held_, standing_.Holds(upstream_));
  // The fence waits for requests of a cold start; what an earlier steward sent
  // while the upstream was warm may run for longer.
  const bool fenced = held_ && standing_.Fenced(upstream_, now);
  if (fenced && !handed_over_) settled_at_ = standing_.FencedUntil() + excess_;
  if (before && !held_) handed_over_ = false;
  return before && !held_;
}

void admission_gate::OnHandedOver() {
  handed_over_ = true;
  settled_at_ = {};
}

void admission_gate::Release() { released_at_epoch_ = standing_.RosterEpoch(); }

bool admission_gate::Serving() const {
  return held_ && !out_ && !released_at_epoch_.has_value();
}

std::optional<shard_reason> admission_gate::Blocked(steward_phase phase,
                                                    monotonic_time now) const {
  if (out_) return shard_reason::kDataCentreOut;
  if (!Serving()) return shard_reason::kNotSteward;
  if (const auto reason = ReasonOfPhase(phase)) return reason;
  const bool fenced = standing_.Fenced(upstream_, now) || now < settled_at_;
  if (fenced) return shard_reason::kStandingUnproven;
  // Two senders to a warm upstream meet its shedding; two senders to a cold
  // one break it.
  const bool warm = phase == steward_phase::kWarm;
  if (!warm && !standing_.Proven(now)) return shard_reason::kStandingUnproven;
  return std::nullopt;
}

}  // namespace papayaglade
