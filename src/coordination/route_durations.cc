#include "coordination/route_durations.h"

#include <algorithm>
#include <cstdint>

namespace papayaglade {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kSpanLength{15000};
// With fewer requests, the longest says little about the next one, which must
// not run out of time if it cannot be repeated.
constexpr std::size_t kMinRequestsOnce = 10;
constexpr double kIdempotentFactor = 1.5;
// If a request that must not be repeated runs out of time, its caller never
// learns what became of it. A single slow request is no trend, so more room is
// kept only for what has happened twice.
constexpr double kSingleRunFactor = 2;
// Time for short requests to be held up by others.
constexpr milliseconds kMinTimeNeeded{50};

std::int64_t SpanNumber(monotonic_time now) {
  return now.time_since_epoch() / kSpanLength;
}

milliseconds Times(double factor, milliseconds duration) {
  return milliseconds(static_cast<std::int64_t>(
      factor * static_cast<double>(duration.count())));
}

}  // namespace

void longest_durations::Add(milliseconds duration) {
  second = std::max(second, std::min(first, duration));
  first = std::max(first, duration);
}

void route_durations::Add(const std::string& route, milliseconds duration,
                          monotonic_time now) {
  const std::int64_t number = SpanNumber(now);
  span& current =
      spans_by_route_[route].at(static_cast<std::size_t>(number) % kSpans);
  if (current.number != number) current = {number, 0, {}};
  ++current.count;
  current.longest.Add(duration);
}

std::optional<longest_durations> route_durations::Longest(
    const std::string& route, bool idempotent, monotonic_time now) const {
  const auto found = spans_by_route_.find(route);
  if (found == spans_by_route_.end()) return std::nullopt;
  const std::int64_t oldest =
      SpanNumber(now) - static_cast<std::int64_t>(kSpans) + 1;
  span recent;
  for (const span& each : found->second) {
    if (each.number < oldest) continue;
    recent.count += each.count;
    recent.longest.Add(each.longest.first);
    recent.longest.Add(each.longest.second);
  }
  const std::size_t enough = idempotent ? 1 : kMinRequestsOnce;
  if (recent.count < enough) return std::nullopt;
  return recent.longest;
}

milliseconds route_durations::TimeNeededNext(
    const std::string& route, bool idempotent, milliseconds allowed,
    const std::vector<milliseconds>& in_progress, monotonic_time now) const {
  auto longest = Longest(route, idempotent, now);
  if (longest.has_value()) {
    for (const milliseconds each : in_progress) longest->Add(each);
  }
  return TimeNeeded(longest, idempotent, allowed);
}

milliseconds TimeNeeded(const std::optional<longest_durations>& longest,
                        bool idempotent, milliseconds allowed) {
  if (!longest.has_value()) return allowed;
  milliseconds needed = Times(kIdempotentFactor, longest->first);
  if (!idempotent)
    needed = std::max(needed, Times(kSingleRunFactor, longest->second));
  return std::min(allowed, std::max(kMinTimeNeeded, needed));
}

}  // namespace papayaglade
