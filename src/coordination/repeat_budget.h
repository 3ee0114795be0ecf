#ifndef PAPAYAGLADE_COORDINATION_REPEAT_BUDGET_H_
#define PAPAYAGLADE_COORDINATION_REPEAT_BUDGET_H_

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>

#include "state/entry_settings.h"
#include "state/time.h"

namespace papayaglade {

/// Bounds the repeats (retries and hedges) of one service on one instance in
/// any window: a share of the requests seen here, and a share of the extra.
class repeat_budget {
 public:
  void CountRequest(monotonic_time now);

  /// Whether repeats are far from their bound.
  bool IsAmple(const repeat_limits& limits, std::size_t instances,
               monotonic_time now);

  /// Counts a repeat if one more is allowed. `instances` share the extra.
  bool TrySpend(const repeat_limits& limits, std::size_t instances,
                monotonic_time now);

 private:
  static constexpr std::size_t kSlices = 20;
  struct slice {
    std::int64_t number = -1;
    std::uint32_t requests = 0;
    std::uint32_t repeats = 0;
  };

  struct usage {
    double allowed = 0;
    double repeats = 0;
  };

  usage ComputeUsage(const repeat_limits& limits, std::size_t instances,
                     monotonic_time now);
  slice& SliceAt(std::chrono::milliseconds length, monotonic_time now);

  std::chrono::milliseconds slice_length_{500};
  std::array<slice, kSlices + 1> slices_;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_COORDINATION_REPEAT_BUDGET_H_
