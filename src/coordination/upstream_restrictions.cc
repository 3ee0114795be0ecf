#include "coordination/upstream_restrictions.h"

namespace papayaglade {

const upstream_restriction* upstream_restrictions::Find(
    const upstream_record& record) const {
  const auto found = by_id_.find(record.id);
  if (found == by_id_.end()) return nullptr;
  // A record without a start time is no sign of another process.
  const bool same = record.start_time_ms == 0 ||
                    record.start_time_ms == found->second.start_time_ms;
  return same ? &found->second.restriction : nullptr;
}

std::int64_t upstream_restrictions::StartTime(const std::string& id) const {
  const auto found = by_id_.find(id);
  return found == by_id_.end() ? 0 : found->second.start_time_ms;
}

void upstream_restrictions::Replace(const upstream_record& record) {
  const auto found = by_id_.find(record.id);
  if (found != by_id_.end()) found->second = {record.start_time_ms, {}};
}

void upstream_restrictions::Remember(const upstream_record& record,
                                     const upstream_restriction& restriction) {
  const auto found = by_id_.find(record.id);
  if (found != by_id_.end()) {
    if (record.start_time_ms < found->second.start_time_ms) return;
    found->second = {record.start_time_ms, restriction};
    return;
  }
  if (ids_.size() >= kCapacity) {
    by_id_.erase(ids_.front());
    ids_.pop_front();
  }
  ids_.push_back(record.id);
  by_id_[record.id] = {record.start_time_ms, restriction};
}

}  // namespace papayaglade
