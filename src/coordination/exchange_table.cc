#include "coordination/exchange_table.h"

#include <algorithm>
#include <utility>

namespace papayaglade {

void exchange_table::Add(upstream_exchange added) {
  exchanges_.push_back(std::move(added));
}

upstream_exchange* exchange_table::Find(std::uint64_t exchange_id) {
  for (upstream_exchange& each : exchanges_) {
    if (each.id == exchange_id) return &each;
  }
  return nullptr;
}

const upstream_exchange* exchange_table::Find(std::uint64_t exchange_id) const {
  for (const upstream_exchange& each : exchanges_) {
    if (each.id == exchange_id) return &each;
  }
  return nullptr;
}

const upstream_exchange* exchange_table::FindByConnection(
    std::uint64_t connection_id) const {
  for (const upstream_exchange& each : exchanges_) {
    if (each.connection_id == connection_id) return &each;
  }
  return nullptr;
}

upstream_exchange exchange_table::Take(std::uint64_t exchange_id) {
  upstream_exchange* const found = Find(exchange_id);
  upstream_exchange taken = std::move(*found);
  if (found != &exchanges_.back()) *found = std::move(exchanges_.back());
  exchanges_.pop_back();
  return taken;
}

std::vector<std::uint64_t> exchange_table::ListOverdue(
    monotonic_time now) const {
  std::vector<std::uint64_t> due;
  for (const upstream_exchange& each : exchanges_) {
    if (each.due <= now) due.push_back(each.id);
  }
  return due;
}

bool exchange_table::HasKind(exchange_kind kind) const {
  return std::any_of(
      exchanges_.begin(), exchanges_.end(),
      [kind](const upstream_exchange& each) { return each.kind == kind; });
}

bool exchange_table::HasUnreportedWork() const {
  return std::any_of(
      exchanges_.begin(), exchanges_.end(), [](const upstream_exchange& each) {
        return each.kind == exchange_kind::kWork && !each.reported;
      });
}

int exchange_table::CountEnded() const {
  return static_cast<int>(
      std::count_if(exchanges_.begin(), exchanges_.end(),
                    [](const upstream_exchange& each) { return each.ended; }));
}

}  // namespace papayaglade
