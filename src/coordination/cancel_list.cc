#include "coordination/cancel_list.h"

#include <algorithm>
#include <chrono>

namespace papayaglade {

namespace {

// An upstream that notices a deadline late can still be told to cancel.
constexpr std::chrono::milliseconds kCancelRetention{500};
constexpr std::size_t kMaxCancelsPerBatch = 64;

}  // namespace

void cancel_list::Add(const queued_attempt& attempt) {
  pending_.push_back(attempt);
}

void cancel_list::AddBroken(std::uint64_t exchange_id,
                            const queued_attempt& attempt) {
  broken_.push_back({exchange_id, attempt.Key(), attempt.deadline});
  pending_.push_back(attempt);
}

std::vector<queued_attempt> cancel_list::NextBatch() const {
  const std::size_t count = std::min(pending_.size(), kMaxCancelsPerBatch);
  return {pending_.begin(),
          pending_.begin() + static_cast<std::ptrdiff_t>(count)};
}

void cancel_list::DropBatch() {
  const std::size_t count = std::min(pending_.size(), kMaxCancelsPerBatch);
  pending_.erase(pending_.begin(),
                 pending_.begin() + static_cast<std::ptrdiff_t>(count));
}

std::vector<std::uint64_t> cancel_list::TakeProvenEnded(
    const std::vector<attempt_key>& ended) {
  std::vector<std::uint64_t> proven;
  const auto is_proven = [&ended](const broken_exchange& each) {
    return std::find(ended.begin(), ended.end(), each.key) != ended.end();
  };
  for (const broken_exchange& each : broken_) {
    if (is_proven(each)) proven.push_back(each.exchange_id);
  }
  broken_.erase(std::remove_if(broken_.begin(), broken_.end(), is_proven),
                broken_.end());
  return proven;
}

void cancel_list::Expire(monotonic_time now) {
  const auto ended = [now](const auto& each) {
    return each.deadline + kCancelRetention <= now;
  };
  pending_.erase(std::remove_if(pending_.begin(), pending_.end(), ended),
                 pending_.end());
  broken_.erase(std::remove_if(broken_.begin(), broken_.end(), ended),
                broken_.end());
}

}  // namespace papayaglade
