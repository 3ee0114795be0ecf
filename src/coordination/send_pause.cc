#include "coordination/send_pause.h"

#include <algorithm>
#include <cstdint>

namespace papayaglade {

namespace {

using std::chrono::milliseconds;

// The instances end their pauses within this share of the pause, and within
// this time.
constexpr int kSpreadDivisor = 2;
constexpr milliseconds kMaxSpread{2000};
// From this many pending attempts on, the return is complete.
constexpr std::size_t kFullReturn = 16;

milliseconds ReturnDelay(milliseconds wait, const fleet_position& position) {
  const milliseconds spread = std::min(kMaxSpread, wait / kSpreadDivisor);
  const auto instances =
      static_cast<std::int64_t>(std::max<std::size_t>(1, position.instances));
  return spread * (static_cast<std::int64_t>(position.index) % instances) /
         instances;
}

}  // namespace

void send_pause::Start(milliseconds wait, const fleet_position& position,
                       monotonic_time now) {
  if (wait.count() <= 0) return;
  until_ = std::max(until_, now + wait + ReturnDelay(wait, position));
  max_pending_ = 1;
}

// Answers to requests that were sent before the pause say nothing about it.
void send_pause::RecordAnswer(monotonic_time sent) {
  if (max_pending_ == kNoLimit || sent < until_) return;
  max_pending_ *= 2;
  if (max_pending_ >= kFullReturn) max_pending_ = kNoLimit;
}

}  // namespace papayaglade
