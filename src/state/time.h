#ifndef PAPAYAGLADE_STATE_TIME_H_
#define PAPAYAGLADE_STATE_TIME_H_

#include <chrono>
#include <optional>

namespace papayaglade {

/// The clock for all decisions. It never steps, and it keeps running while the
/// process is frozen.
using monotonic_clock = std::chrono::steady_clock;
using monotonic_time = monotonic_clock::time_point;

/// Returns how long before `now` a time was, rounded up, or nothing if the time
/// is unknown.
inline std::optional<std::chrono::milliseconds> AgeOf(
    const std::optional<monotonic_time>& time, monotonic_time now) {
  if (!time.has_value()) return std::nullopt;
  return std::chrono::ceil<std::chrono::milliseconds>(now - *time);
}

/// Returns whether there is a deadline and it has passed.
inline bool HasPassed(const std::optional<monotonic_time>& deadline,
                      monotonic_time now) {
  return deadline.has_value() && *deadline <= now;
}

}  // namespace papayaglade

#endif  // PAPAYAGLADE_STATE_TIME_H_
