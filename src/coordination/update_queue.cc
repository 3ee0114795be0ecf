#include "coordination/update_queue.h"

#include <algorithm>

namespace papayaglade {

namespace {

// The probability that an update that is sent c * log2(n) times misses a member
// decreases as a power of n.
constexpr std::size_t kSendsPerSizeDoubling = 3;

std::size_t MaxSends(std::size_t members) {
  std::size_t doublings = 1;
  while ((std::size_t{1} << doublings) < members + 1) ++doublings;
  return kSendsPerSizeDoubling * doublings;
}

}  // namespace

void update_queue::Add(const member_update& update) {
  const auto same_name = [&update](const entry& each) {
    return each.update.identity.name == update.identity.name;
  };
  entries_.erase(std::remove_if(entries_.begin(), entries_.end(), same_name),
                 entries_.end());
  entries_.insert(entries_.begin(), {update, 0});
}

std::vector<member_update> update_queue::Take(std::size_t members,
                                              std::size_t max_updates) {
  const std::size_t taken = std::min(max_updates, entries_.size());
  std::vector<member_update> updates;
  updates.reserve(taken);
  for (std::size_t i = 0; i < taken; ++i) {
    updates.push_back(entries_[i].update);
    ++entries_[i].sends;
  }
  const std::size_t limit = MaxSends(members);
  entries_.erase(std::remove_if(entries_.begin(), entries_.end(),
                                [limit](const entry& each) {
                                  return each.sends >= limit;
                                }),
                 entries_.end());
  std::stable_sort(
      entries_.begin(), entries_.end(),
      [](const entry& a, const entry& b) { return a.sends < b.sends; });
  return updates;
}

}  // namespace papayaglade
