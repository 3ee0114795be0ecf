#include "coordination/handover_sender.h"

#include <algorithm>
#include <utility>

namespace papayaglade {

namespace {

constexpr std::chrono::milliseconds kRetryInterval{200};
constexpr std::chrono::milliseconds kRetryTimeout{3000};

}  // namespace

void handover_sender::Add(const std::string& steward,
                          stewardship_handover message, monotonic_time now) {
  unacknowledged_.push_back(
      {steward, std::move(message), now, now + kRetryTimeout});
}

void handover_sender::OnAcknowledged(const std::string& steward,
                                     std::uint64_t epoch) {
  unacknowledged_.erase(
      std::remove_if(unacknowledged_.begin(), unacknowledged_.end(),
                     [&](const unacknowledged_handover& each) {
                       return each.steward == steward &&
                              each.message.epoch == epoch;
                     }),
      unacknowledged_.end());
}

std::vector<send_control> handover_sender::TakeDue(monotonic_time now) {
  unacknowledged_.erase(
      std::remove_if(unacknowledged_.begin(), unacknowledged_.end(),
                     [now](const unacknowledged_handover& each) {
                       return each.deadline <= now;
                     }),
      unacknowledged_.end());
  std::vector<send_control> due;
  for (unacknowledged_handover& each : unacknowledged_) {
    if (each.next_send > now) continue;
    each.next_send = now + kRetryInterval;
    due.push_back({each.steward, each.message});
  }
  return due;
}

}  // namespace papayaglade
