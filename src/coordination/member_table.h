#ifndef PAPAYAGLADE_COORDINATION_MEMBER_TABLE_H_
#define PAPAYAGLADE_COORDINATION_MEMBER_TABLE_H_

#include <map>
#include <string>
#include <vector>

#include "state/member.h"

namespace papayaglade {

/// The other members of one data centre and the order of what is said of them.
class member_table {
 public:
  /// Takes `update` if it is newer than what is known: first by incarnation,
  /// then by refutation, then by state. So every order of the same updates
  /// ends in the same table. Returns whether anything changed.
  bool Apply(const member_update& update, monotonic_time now);

  /// Nothing when the name is unknown.
  const member* Find(const std::string& name) const;
  /// Nothing unless that very life of the name is known.
  const member* Find(const instance_identity& identity) const;
  void Erase(const std::string& name) { members_.erase(name); }
  /// Begins the time that hinted and suspect members have to answer anew.
  void RestartTimeouts(monotonic_time now);

  /// Members that answer or may still answer: alive, suspect or left.
  std::size_t LivingCount() const;
  std::vector<std::string> NamesInState(member_state state) const;
  std::vector<member> List() const;

  const std::map<std::string, member>& All() const { return members_; }

 private:
  std::map<std::string, member> members_;
};

/// What to tell others about `known`.
member_update UpdateOf(const member& known);

/// Whether a member in `state` should be probed and may carry messages.
bool IsLiving(member_state state);

}  // namespace papayaglade

#endif  // PAPAYAGLADE_COORDINATION_MEMBER_TABLE_H_
