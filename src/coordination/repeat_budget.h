#ifndef PAPAYAGLADE_COORDINATION_REPEAT_BUDGET_H_
#define PAPAYAGLADE_COORDINATION_REPEAT_BUDGET_H_

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>

#include "state/entry_settings.h"
#include "state/time.h"

namespace papayaglade {

/// Limits the repeats (retries and hedges) that one instance sends to one
/// service in any window. The limit is a share of the requests counted here,
/// plus this instance's share of the extra repeats.
class repeat_budget {
 public:
  void CountRequest(monotonic_time now);

  /// Returns whether repeats are well below their limit.
  bool IsAmple(const repeat_limits& limits, std::size_t instances,
               monotonic_time now);

  /// Counts a repeat and returns true if one more is allowed. The extra repeats
  /// are divided among `instances`.
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
