#include "coordination/in_flight_requests.h"

#include <algorithm>

namespace papayaglade {

namespace {

// No exchange of this instance has this id.
constexpr std::uint64_t kForeignExchangeId = 0;

}  // namespace

void in_flight_requests::Add(std::uint64_t exchange_id, monotonic_time ends_by,
                             bool verified) {
  entries_.push_back({exchange_id, ends_by, verified, false, Count() + 1});
}

void in_flight_requests::AddForeign(monotonic_time ends_by) {
  entries_.push_back({kForeignExchangeId, ends_by, false, true, 0});
}

std::optional<in_flight_requests::entry> in_flight_requests::Remove(
    std::uint64_t exchange_id) {
  const auto found = std::find_if(
      entries_.begin(), entries_.end(),
      [&](const entry& each) { return each.exchange_id == exchange_id; });
  if (found == entries_.end()) return std::nullopt;
  const entry removed = *found;
  *found = entries_.back();
  entries_.pop_back();
  return removed;
}

void in_flight_requests::MarkUnproven(std::uint64_t exchange_id) {
  for (entry& each : entries_) {
    if (each.exchange_id == exchange_id) each.unproven = true;
  }
}

void in_flight_requests::Expire(monotonic_time now) {
  const auto ended = [now](const entry& each) {
    return each.unproven && each.ends_by <= now;
  };
  entries_.erase(std::remove_if(entries_.begin(), entries_.end(), ended),
                 entries_.end());
}

int in_flight_requests::CountUnproven() const {
  return static_cast<int>(
      std::count_if(entries_.begin(), entries_.end(),
                    [](const entry& each) { return each.unproven; }));
}

int in_flight_requests::CountUnverified() const {
  return static_cast<int>(
      std::count_if(entries_.begin(), entries_.end(),
                    [](const entry& each) { return !each.verified; }));
}

}  // namespace papayaglade
