#include "coordination/admission_gate.h"

#include <utility>

namespace papayaglade {

std::optional<shard_reason> ReasonForPhase(steward_phase phase) {
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
  const bool has_newer_epoch = released_at_epoch_.has_value() &&
                               standing_.RosterEpoch() > *released_at_epoch_;
  if (has_newer_epoch) released_at_epoch_.reset();
  const bool was_steward =
      std::exchange(is_steward_, standing_.IsSteward(upstream_));
  // The fence only covers requests of a cold start. Requests that an earlier
  // steward sent while the upstream was warm may run for longer.
  const bool fenced = is_steward_ && standing_.IsFenced(upstream_, now);
  if (fenced && !handed_over_)
    earlier_work_ends_at_ = standing_.FencedUntil() + extra_fence_time_;
  if (was_steward && !is_steward_) handed_over_ = false;
  return was_steward && !is_steward_;
}

void admission_gate::OnHandoverReceived() {
  handed_over_ = true;
  earlier_work_ends_at_ = {};
}

void admission_gate::Release() { released_at_epoch_ = standing_.RosterEpoch(); }

bool admission_gate::IsServing() const {
  return is_steward_ && !data_centre_out_ && !released_at_epoch_.has_value();
}

std::optional<shard_reason> admission_gate::BlockReason(
    steward_phase phase, monotonic_time now) const {
  if (data_centre_out_) return shard_reason::kDataCentreOut;
  if (!IsServing()) return shard_reason::kNotSteward;
  if (const auto reason = ReasonForPhase(phase)) return reason;
  const bool fenced =
      standing_.IsFenced(upstream_, now) || now < earlier_work_ends_at_;
  if (fenced) return shard_reason::kStandingUnproven;
  // A warm upstream sheds the excess load of two senders. A cold upstream fails
  // under it.
  const bool warm = phase == steward_phase::kWarm;
  if (!warm && !standing_.IsProven(now)) return shard_reason::kStandingUnproven;
  return std::nullopt;
}

}  // namespace papayaglade
