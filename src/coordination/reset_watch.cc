#include "coordination/reset_watch.h"

#include <utility>

namespace papayaglade {

namespace {

constexpr std::chrono::milliseconds kWindow{1000};

}  // namespace

// One idle connection ends by an idle limit of the far end or of something
// between; a restart ends every connection.
bool reset_watch::OnReset(bool busy, int left, monotonic_time now) {
  if (now - last_reset_ >= kWindow) resets_ = 0;
  last_reset_ = now;
  ++resets_;
  const bool most = resets_ >= 2 && resets_ >= left;
  return busy || most || left == 0;
}

bool reset_watch::OnClose(monotonic_time now) {
  return now - std::exchange(last_close_, now) < kWindow;
}

}  // namespace papayaglade
