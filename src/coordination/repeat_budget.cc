#include "coordination/repeat_budget.h"

#include <algorithm>

namespace papayaglade {

namespace {

// Allows for slices being counted whole while windows slide, and for requests
// that reach an upstream a little after they are counted here.
constexpr double kSafetyShare = 0.85;
// With less left, repeats are reserved for requests that would be late without
// one.
constexpr double kAmpleShare = 0.5;
constexpr double kMinAmpleRepeats = 4;

}  // namespace

repeat_budget::slice& repeat_budget::SliceAt(std::chrono::milliseconds length,
                                             monotonic_time now) {
  const std::int64_t number = now.time_since_epoch() / length;
  slice& current_slice =
      slices_.at(static_cast<std::size_t>(number) % slices_.size());
  if (current_slice.number != number) current_slice = {number, 0, 0};
  return current_slice;
}

void repeat_budget::CountRequest(monotonic_time now) {
  ++SliceAt(slice_length_, now).requests;
}

repeat_budget::usage repeat_budget::ComputeUsage(const repeat_limits& limits,
                                                 std::size_t instances,
                                                 monotonic_time now) {
  slice_length_ =
      std::chrono::duration_cast<std::chrono::milliseconds>(limits.window) /
      kSlices;
  const slice& current = SliceAt(slice_length_, now);
  double requests = 0;
  usage result;
  for (const slice& each : slices_) {
    if (each.number < 0) continue;
    const std::int64_t age = current.number - each.number;
    if (age > static_cast<std::int64_t>(kSlices)) continue;
    requests += each.requests;
    result.repeats += each.repeats;
  }
  const double extra =
      limits.extra / static_cast<double>(std::max<std::size_t>(1, instances));
  result.allowed = kSafetyShare * (limits.ratio * requests + extra);
  return result;
}

bool repeat_budget::IsAmple(const repeat_limits& limits, std::size_t instances,
                            monotonic_time now) {
  const usage used = ComputeUsage(limits, instances, now);
  const double left = used.allowed - used.repeats;
  return left >= std::max(kMinAmpleRepeats, kAmpleShare * used.allowed);
}

bool repeat_budget::TrySpend(const repeat_limits& limits, std::size_t instances,
                             monotonic_time now) {
  const usage used = ComputeUsage(limits, instances, now);
  if (used.repeats + 1 > used.allowed) return false;
  ++SliceAt(slice_length_, now).repeats;
  return true;
}

}  // namespace papayaglade
