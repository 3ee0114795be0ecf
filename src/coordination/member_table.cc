#include "coordination/member_table.h"

#include <algorithm>

namespace papayaglade {

namespace {

// Precedence of states for equal incarnation and refutation numbers. Only a
// member itself declares that it is alive or has left, and it increments its
// refutation number to change that, so both states have equal precedence.
int PrecedenceOf(member_state state) {
  switch (state) {
    case member_state::kHinted:
      return 0;
    case member_state::kAlive:
    case member_state::kLeft:
      return 1;
    case member_state::kSuspect:
      return 2;
    case member_state::kDeadUnproven:
      return 3;
    case member_state::kDeadProven:
      return 4;
  }
  return 0;
}

bool IsNewer(const member_update& update, const member& known) {
  if (update.identity.incarnation != known.identity.incarnation) {
    return update.identity.incarnation > known.identity.incarnation;
  }
  if (update.refutation != known.refutation) {
    return update.refutation > known.refutation;
  }
  return PrecedenceOf(update.state) > PrecedenceOf(known.state);
}

}  // namespace

bool member_table::Apply(const member_update& update, monotonic_time now) {
  const auto found = members_.find(update.identity.name);
  if (found != members_.end() && !IsNewer(update, found->second)) return false;
  members_[update.identity.name] = {
      update.identity,   update.peers, update.state,
      update.refutation, now,          update.operators};
  return true;
}

const member* member_table::Find(const std::string& name) const {
  const auto found = members_.find(name);
  return found == members_.end() ? nullptr : &found->second;
}

const member* member_table::Find(const instance_identity& identity) const {
  const member* known = Find(identity.name);
  return known != nullptr && known->identity == identity ? known : nullptr;
}

void member_table::RestartTimeouts(monotonic_time now) {
  for (auto& each : members_) {
    const member_state state = each.second.state;
    if (state == member_state::kHinted || state == member_state::kSuspect) {
      each.second.since = now;
    }
  }
}

std::size_t member_table::LivingCount() const {
  return static_cast<std::size_t>(std::count_if(
      members_.begin(), members_.end(),
      [](const auto& each) { return IsLiving(each.second.state); }));
}

std::vector<std::string> member_table::NamesInState(member_state state) const {
  std::vector<std::string> names;
  for (const auto& each : members_) {
    if (each.second.state == state) names.push_back(each.first);
  }
  return names;
}

std::vector<member> member_table::List() const {
  std::vector<member> list;
  list.reserve(members_.size());
  for (const auto& each : members_) list.push_back(each.second);
  return list;
}

member_update UpdateOf(const member& known) {
  return {known.identity, known.peers, known.state, known.refutation,
          known.operators};
}

bool IsLiving(member_state state) {
  return state == member_state::kAlive || state == member_state::kSuspect ||
         state == member_state::kLeft;
}

}  // namespace papayaglade
