#ifndef PAPAYAGLADE_COORDINATION_MEMBER_TABLE_H_
#define PAPAYAGLADE_COORDINATION_MEMBER_TABLE_H_

#include <map>
#include <string>
#include <vector>

#include "state/member.h"

namespace papayaglade {

/// The other members of one data centre, with the precedence rules for updates
/// about them.
class member_table {
 public:
  /// Applies `update` if it is newer than the known entry: first by
  /// incarnation, then by refutation, then by state. The same updates in any
  /// order therefore result in the same table. Returns whether anything
  /// changed.
  bool Apply(const member_update& update, monotonic_time now);

  /// Returns null if the name is unknown.
  const member* Find(const std::string& name) const;
  /// Returns null unless exactly this incarnation of the name is known.
  const member* Find(const instance_identity& identity) const;
  void Erase(const std::string& name) { members_.erase(name); }
  /// Restarts the timeouts within which hinted and suspect members have to
  /// answer.
  void RestartTimeouts(monotonic_time now);

  /// Returns the number of members that may still answer: alive, suspect or
  /// left.
  std::size_t LivingCount() const;
  std::vector<std::string> NamesInState(member_state state) const;
  std::vector<member> List() const;

  const std::map<std::string, member>& All() const { return members_; }

 private:
  std::map<std::string, member> members_;
};

/// Returns the update that tells other members about `known`.
member_update UpdateOf(const member& known);

/// Returns whether a member in `state` should be probed and may relay messages.
bool IsLiving(member_state state);

}  // namespace papayaglade

#endif  // PAPAYAGLADE_COORDINATION_MEMBER_TABLE_H_
