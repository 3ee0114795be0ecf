#include "coordination/observed_health.h"

#include <algorithm>
#include <cmath>

namespace papayaglade {

namespace {

constexpr double kSlownessWeight = 0.3;  // Of the newest sample.
constexpr double kFailureWeight = 0.25;
constexpr double kMostSlowness = 20;
constexpr std::chrono::milliseconds kFirstBlock{200};
constexpr std::chrono::milliseconds kLongestBlock{1500};

}  // namespace

monotonic_time observed_health::BeginAttempt(
    monotonic_time now, std::chrono::microseconds patience) {
  pending_.push_back({now, now + patience});
  return now;
}

void observed_health::Answered(monotonic_time begun,
                               std::chrono::microseconds expected,
                               monotonic_time now) {
  End(begun);
  const double taken = std::chrono::duration<double>(now - begun).count();
  const double usual = std::chrono::duration<double>(expected).count();
  const double ratio =
      usual > 0 ? std::clamp(taken / usual, 0.2, kMostSlowness) : 1;
  const double slowness = Slowness(now);
  const double failures = FailureShare(now);
  slowness_ = slowness + kSlownessWeight * (ratio - slowness);
  failures_ = failures * (1 - kFailureWeight);
  sampled_ = now;
  block_ = std::chrono::milliseconds(0);
  blocked_until_ = {};
}

void observed_health::Failed(monotonic_time begun, monotonic_time now) {
  End(begun);
  const double slowness = Slowness(now);
  const double failures = FailureShare(now);
  slowness_ = slowness;
  failures_ = failures + kFailureWeight * (1 - failures);
  sampled_ = now;
}

void observed_health::Silent(monotonic_time begun, monotonic_time now) {
  Failed(begun, now);
  Block(now);
}

void observed_health::Dropped(monotonic_time begun) { End(begun); }

void observed_health::Unreachable(monotonic_time now) { Block(now); }

void observed_health::Block(monotonic_time now) {
  if (blocked_until_ > now) return;
  block_ = std::clamp(2 * block_, kFirstBlock, kLongestBlock);
  blocked_until_ = now + block_;
}

double observed_health::Slowness(monotonic_time now) const {
  const std::chrono::duration<double> age = now - sampled_;
  return 1 + (slowness_ - 1) * std::exp(-(age / memory_));
}

double observed_health::FailureShare(monotonic_time now) const {
  const std::chrono::duration<double> age = now - sampled_;
  return failures_ * std::exp(-(age / memory_));
}

std::chrono::microseconds observed_health::OldestPending(
    monotonic_time now) const {
  if (pending_.empty()) return std::chrono::microseconds(0);
  const auto oldest =
      std::min_element(pending_.begin(), pending_.end(),
                       [](const pending_attempt& a, const pending_attempt& b) {
                         return a.begun < b.begun;
                       });
  return std::chrono::duration_cast<std::chrono::microseconds>(now -
                                                               oldest->begun);
}

bool observed_health::Overdue(monotonic_time now) const {
  return std::any_of(
      pending_.begin(), pending_.end(),
      [&](const pending_attempt& each) { return each.overdue_at <= now; });
}

void observed_health::End(monotonic_time begun) {
  const auto found = std::find_if(
      pending_.begin(), pending_.end(),
      [&](const pending_attempt& each) { return each.begun == begun; });
  if (found != pending_.end()) pending_.erase(found);
}

}  // namespace papayaglade
