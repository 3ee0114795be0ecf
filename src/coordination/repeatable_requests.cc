#include "coordination/repeatable_requests.h"

#include <algorithm>

namespace papayaglade {

bool repeatable_requests::Add(const std::string& id, monotonic_time until,
                              monotonic_time now) {
  const auto is_over = [now](const entry& each) { return each.until <= now; };
  entries_.erase(std::remove_if(entries_.begin(), entries_.end(), is_over),
                 entries_.end());
  if (entries_.size() >= kCapacity) return false;
  entries_.push_back({id, until});
  return true;
}

bool repeatable_requests::Contains(const std::string& id) const {
  return std::any_of(entries_.begin(), entries_.end(),
                     [&](const entry& each) { return each.id == id; });
}

}  // namespace papayaglade
