#include "coordination/observed_health.h"

#include <algorithm>
#include <cmath>

namespace papayaglade {

namespace {

constexpr double kSlownessWeight = 0.3;  // Weight of the newest sample.
constexpr double kFailureWeight = 0.25;
constexpr double kMinLatencyRatio = 0.2;
constexpr double kMaxSlowness = 20;
constexpr std::chrono::milliseconds kInitialBlock{200};
constexpr std::chrono::milliseconds kMaxBlock{1500};

// Returns how many times the usual latency an attempt has taken.
double LatencyRatio(monotonic_clock::duration taken,
                    std::chrono::microseconds usual) {
  if (usual.count() <= 0) return 1;
  const double ratio = std::chrono::duration<double>(taken) /
                       std::chrono::duration<double>(usual);
  return std::clamp(ratio, kMinLatencyRatio, kMaxSlowness);
}

}  // namespace

monotonic_time observed_health::BeginAttempt(
    monotonic_time now, std::chrono::microseconds overdue_after) {
  pending_.push_back({now, now + overdue_after});
  return now;
}

void observed_health::RecordAnswer(monotonic_time begun,
                                   std::chrono::microseconds expected,
                                   monotonic_time now) {
  RemovePending(begun);
  const double ratio = LatencyRatio(now - begun, expected);
  const double slowness = Slowness(now);
  const double failure_share = FailureShare(now);
  slowness_ = slowness + kSlownessWeight * (ratio - slowness);
  failure_share_ = failure_share * (1 - kFailureWeight);
  last_sample_at_ = now;
  block_duration_ = std::chrono::milliseconds(0);
  blocked_until_ = {};
}

void observed_health::RecordLate(monotonic_time begun,
                                 std::chrono::microseconds expected,
                                 monotonic_time now) {
  RemovePending(begun);
  const double ratio = LatencyRatio(now - begun, expected);
  if (ratio <= Slowness(now)) return;
  // The ratio is a lower bound, so it counts in full.
  failure_share_ = FailureShare(now);
  slowness_ = ratio;
  last_sample_at_ = now;
}

void observed_health::RecordFailure(monotonic_time begun, monotonic_time now) {
  RemovePending(begun);
  const double slowness = Slowness(now);
  const double failure_share = FailureShare(now);
  slowness_ = slowness;
  failure_share_ = failure_share + kFailureWeight * (1 - failure_share);
  last_sample_at_ = now;
}

void observed_health::RecordTimeout(monotonic_time begun, monotonic_time now) {
  RecordFailure(begun, now);
  Block(now);
}

void observed_health::RecordCancellation(monotonic_time begun) {
  RemovePending(begun);
}

void observed_health::RecordConnectFailure(monotonic_time now) { Block(now); }

void observed_health::Block(monotonic_time now) {
  if (blocked_until_ > now) return;
  block_duration_ = std::clamp(2 * block_duration_, kInitialBlock, kMaxBlock);
  blocked_until_ = now + block_duration_;
}

double observed_health::Slowness(monotonic_time now) const {
  const std::chrono::duration<double> age = now - last_sample_at_;
  return 1 + (slowness_ - 1) * std::exp(-(age / decay_time_));
}

double observed_health::FailureShare(monotonic_time now) const {
  const std::chrono::duration<double> age = now - last_sample_at_;
  return failure_share_ * std::exp(-(age / decay_time_));
}

std::chrono::microseconds observed_health::OldestPendingAge(
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

bool observed_health::HasOverdue(monotonic_time now) const {
  return std::any_of(
      pending_.begin(), pending_.end(),
      [&](const pending_attempt& each) { return each.overdue_at <= now; });
}

void observed_health::RemovePending(monotonic_time begun) {
  const auto found = std::find_if(
      pending_.begin(), pending_.end(),
      [&](const pending_attempt& each) { return each.begun == begun; });
  if (found != pending_.end()) pending_.erase(found);
}

}  // namespace papayaglade
