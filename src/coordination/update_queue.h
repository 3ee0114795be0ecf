#ifndef PAPAYAGLADE_COORDINATION_UPDATE_QUEUE_H_
#define PAPAYAGLADE_COORDINATION_UPDATE_QUEUE_H_

#include <cstddef>
#include <vector>

#include "state/member.h"

namespace papayaglade {

/// Member updates that still have to ride on messages to peers. Each rides a
/// number of times that grows with the logarithm of the group.
class update_queue {
 public:
  /// Takes the place of any older update about the same name.
  void Add(const member_update& update);

  /// The updates for one message: the ones sent least so far. `members` is
  /// the size of the group.
  std::vector<member_update> Take(std::size_t members, std::size_t max_updates);

  std::size_t Size() const { return entries_.size(); }

 private:
  struct entry {
    member_update update;
    std::size_t sends = 0;
  };

  std::vector<entry> entries_;  // In order of sends.
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_COORDINATION_UPDATE_QUEUE_H_
