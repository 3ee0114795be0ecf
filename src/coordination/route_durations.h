#ifndef PAPAYAGLADE_COORDINATION_ROUTE_DURATIONS_H_
#define PAPAYAGLADE_COORDINATION_ROUTE_DURATIONS_H_

#include <array>
#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "state/time.h"

namespace papayaglade {

/// The two longest durations of several requests.
struct longest_durations {
  std::chrono::milliseconds first{0};
  std::chrono::milliseconds second{0};

  void Add(std::chrono::milliseconds duration);
};

/// Learns from the recent requests of each route how long one of them may take.
class route_durations {
 public:
  /// Records that a request of `route` took `duration`, or at least so long.
  void Add(const std::string& route, std::chrono::milliseconds duration,
           monotonic_time now);

  /// Returns the longest recent durations of `route`; empty while there are too
  /// few. For an `idempotent` request one is enough.
  std::optional<longest_durations> Longest(const std::string& route,
                                           bool idempotent,
                                           monotonic_time now) const;
  /// Returns the time that the next request of `route` may need, of the
  /// `allowed` time at most. A request in progress, of an age in `in_progress`,
  /// shows that one like it may take as long as it has.
  std::chrono::milliseconds TimeNeededNext(
      const std::string& route, bool idempotent,
      std::chrono::milliseconds allowed,
      const std::vector<std::chrono::milliseconds>& in_progress,
      monotonic_time now) const;

 private:
  /// The requests of one span of time.
  struct span {
    std::int64_t number = -1;
    std::size_t count = 0;
    longest_durations longest;
  };
  static constexpr std::size_t kSpans = 4;

  std::map<std::string, std::array<span, kSpans>> spans_by_route_;
};

/// Returns the time that a request may need, of the `allowed` time at most:
/// `longest` are the longest that those like it took recently, if that is
/// known. A request that must not be repeated gets more room than an
/// `idempotent` one.
std::chrono::milliseconds TimeNeeded(
    const std::optional<longest_durations>& longest, bool idempotent,
    std::chrono::milliseconds allowed);

}  // namespace papayaglade

#endif  // PAPAYAGLADE_COORDINATION_ROUTE_DURATIONS_H_
