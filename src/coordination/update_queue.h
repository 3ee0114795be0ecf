#ifndef PAPAYAGLADE_COORDINATION_UPDATE_QUEUE_H_
#define PAPAYAGLADE_COORDINATION_UPDATE_QUEUE_H_

#include <cstddef>
#include <vector>

#include "state/member.h"

namespace papayaglade {

/// Queue of member updates that are still piggybacked on messages to peers.
/// Each update is sent a number of times that grows with the logarithm of the
/// group size.
class update_queue {
 public:
  /// Adds an update; it replaces an older update about the same name.
  void Add(const member_update& update);

  /// Returns the updates for one message: those that were sent least often, at
  /// most `max_updates`. `members` is the size of the group.
  std::vector<member_update> Take(std::size_t members, std::size_t max_updates);

  std::size_t Size() const { return entries_.size(); }

 private:
  struct entry {
    member_update update;
    std::size_t sends = 0;
  };

  std::vector<entry> entries_;  // The entries, sorted by number of sends.
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_COORDINATION_UPDATE_QUEUE_H_
