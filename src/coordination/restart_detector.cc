#include "coordination/restart_detector.h"

#include <utility>

namespace papayaglade {

namespace {

constexpr std::chrono::milliseconds kResetWindow{1000};

}  // namespace

// The idle timeout of the far end or of a device in between ends a single idle
// connection, while a restart ends all connections.
bool restart_detector::OnReset(bool was_busy, int remaining,
                               monotonic_time now) {
  if (now - last_reset_ >= kResetWindow) resets_in_window_ = 0;
  last_reset_ = now;
  ++resets_in_window_;
  const bool most_were_reset =
      resets_in_window_ >= 2 && resets_in_window_ >= remaining;
  return was_busy || most_were_reset || remaining == 0;
}

bool restart_detector::OnClose(monotonic_time now) {
  return now - std::exchange(last_close_, now) < kResetWindow;
}

}  // namespace papayaglade
