#include "coordination/replica_tracker.h"

namespace papayaglade {

namespace {

constexpr double kNewSampleShare = 0.1;
constexpr std::chrono::milliseconds kBusyAvoidanceTime{100};
constexpr std::chrono::milliseconds kGoneAvoidanceTime{1000};

std::chrono::milliseconds AvoidanceTime(shard_reason reason) {
  switch (reason) {
    case shard_reason::kLeaving:
    case shard_reason::kDataCentreOut:
    case shard_reason::kUpstreamDown:
    case shard_reason::kStandingUnproven:
      return kGoneAvoidanceTime;
    case shard_reason::kCold:
    case shard_reason::kQueueFull:
    case shard_reason::kUpstreamRefused:
      return kBusyAvoidanceTime;
    default:
      return std::chrono::milliseconds(0);
  }
}

}  // namespace

void replica_tracker::RecordSent(std::uint32_t upstream) {
  ++StateOf(upstream).in_flight;
}

void replica_tracker::RecordEnd(std::uint32_t upstream) {
  --StateOf(upstream).in_flight;
}

void replica_tracker::RecordAnswer(std::uint32_t upstream,
                                   std::chrono::microseconds time) {
  upstream_state& state = StateOf(upstream);
  --state.in_flight;
  const auto sample = static_cast<double>(time.count());
  const bool first = state.mean_time_us == 0;
  state.mean_time_us =
      first ? sample
            : state.mean_time_us +
                  kNewSampleShare * (sample - state.mean_time_us);
}

void replica_tracker::RecordRefusal(std::uint32_t upstream, shard_reason reason,
                                    monotonic_time now) {
  StateOf(upstream).avoid_until = now + AvoidanceTime(reason);
}

bool replica_tracker::IsAvoided(std::uint32_t upstream,
                                monotonic_time now) const {
  return upstream < upstreams_.size() && now < upstreams_[upstream].avoid_until;
}

void replica_tracker::SetStewardDown(std::uint32_t steward,
                                     monotonic_time until) {
  if (steward >= steward_down_until_.size()) {
    steward_down_until_.resize(steward + 1);
  }
  steward_down_until_[steward] = until;
}

void replica_tracker::SetStewardUp(std::uint32_t steward) {
  SetStewardDown(steward, monotonic_time());
}

bool replica_tracker::IsStewardDown(std::uint32_t steward,
                                    monotonic_time now) const {
  return steward < steward_down_until_.size() &&
         now < steward_down_until_[steward];
}

double replica_tracker::LoadOf(std::uint32_t upstream) const {
  if (upstream >= upstreams_.size()) return 0;
  const upstream_state& state = upstreams_[upstream];
  return (state.in_flight + 1) * (state.mean_time_us + 1.0);
}

replica_tracker::upstream_state& replica_tracker::StateOf(
    std::uint32_t upstream) {
  if (upstream >= upstreams_.size()) upstreams_.resize(upstream + 1);
  return upstreams_[upstream];
}

}  // namespace papayaglade
