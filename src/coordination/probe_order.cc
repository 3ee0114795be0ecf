#include "coordination/probe_order.h"

#include <algorithm>
#include <utility>

namespace papayaglade {

namespace {

// One in this many probes goes to a member believed dead, so that the two sides
// of a healed network partition find each other again.
constexpr std::uint64_t kProbesPerDeadProbe = 5;

}  // namespace

// Rounds limit the time until the next probe of a member. A new random order in
// each round keeps instances from probing the same members at the same time.
std::optional<std::string> probe_order::Next(const member_table& table,
                                             std::mt19937_64& random) {
  const auto dead = table.NamesInState(member_state::kDeadUnproven);
  if (++probe_count_ % kProbesPerDeadProbe == 0 && !dead.empty()) {
    return dead[random() % dead.size()];
  }
  auto next = NextInRound(table);
  if (next.has_value()) return next;
  for (const auto& each : table.All()) {
    if (IsLiving(each.second.state)) remaining_.push_back(each.first);
  }
  std::shuffle(remaining_.begin(), remaining_.end(), random);
  return NextInRound(table);
}

std::optional<std::string> probe_order::NextInRound(const member_table& table) {
  while (!remaining_.empty()) {
    std::string name = std::move(remaining_.back());
    remaining_.pop_back();
    const member* known = table.Find(name);
    if (known != nullptr && IsLiving(known->state)) return name;
  }
  return std::nullopt;
}

}  // namespace papayaglade
