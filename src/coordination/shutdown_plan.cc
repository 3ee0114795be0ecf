#include "coordination/shutdown_plan.h"

#include <algorithm>
#include <cstdint>

namespace papayaglade {

namespace {

using std::chrono::milliseconds;

// Phases of a shutdown, as shares of its bound.
constexpr double kBalancerNoticeShare = 0.5;
constexpr double kClosePortShare = 0.73;
constexpr double kCloseIdleShare = 0.75;
constexpr double kAnswerShare = 0.9;
constexpr double kMinAnswerShare = 0.8;
constexpr double kForcedEndShare = 0.93;
// Time to write the answers, which a short bound need not leave by its shares.
constexpr milliseconds kWriteTime{100};

}  // namespace

shutdown_plan::shutdown_plan(monotonic_time start, milliseconds bound)
    : start_(start), bound_(bound) {}

monotonic_time shutdown_plan::BalancerNoticed() const {
  return AtShare(kBalancerNoticeShare);
}

monotonic_time shutdown_plan::ClosePort() const {
  return AtShare(kClosePortShare);
}

monotonic_time shutdown_plan::CloseIdle() const {
  return AtShare(kCloseIdleShare);
}

monotonic_time shutdown_plan::AnswerBy() const {
  return std::min(AtShare(kAnswerShare),
                  std::max(AtShare(kMinAnswerShare), ForcedEnd() - kWriteTime));
}

monotonic_time shutdown_plan::ForcedEnd() const {
  return AtShare(kForcedEndShare);
}

bool shutdown_plan::MayTake(milliseconds needed, monotonic_time now) const {
  return now + needed <= AnswerBy();
}

monotonic_time shutdown_plan::AtShare(double share) const {
  return start_ + milliseconds(static_cast<std::int64_t>(
                      share * static_cast<double>(bound_.count())));
}

}  // namespace papayaglade
