#include "coordination/handover_exchange.h"

#include <algorithm>
#include <utility>

namespace papayaglade {

namespace {

constexpr std::chrono::milliseconds kRepeat{200};
constexpr std::chrono::milliseconds kGiveUp{3000};

}  // namespace

void handover_exchange::Add(const std::string& steward,
                            stewardship_handover message, monotonic_time now) {
  open_.push_back({steward, std::move(message), now, now + kGiveUp});
}

void handover_exchange::OnAcknowledged(const std::string& steward,
                                       std::uint64_t epoch) {
  open_.erase(std::remove_if(open_.begin(), open_.end(),
                             [&](const open_handover& each) {
                               return each.steward == steward &&
                                      each.message.epoch == epoch;
                             }),
              open_.end());
}

std::vector<send_control> handover_exchange::Due(monotonic_time now) {
  open_.erase(std::remove_if(open_.begin(), open_.end(),
                             [now](const open_handover& each) {
                               return each.give_up <= now;
                             }),
              open_.end());
  std::vector<send_control> due;
  for (open_handover& each : open_) {
    if (each.next > now) continue;
    each.next = now + kRepeat;
    due.push_back({each.steward, each.message});
  }
  return due;
}

}  // namespace papayaglade
