#ifndef PAPAYAGLADE_COORDINATION_CANCEL_LIST_H_
#define PAPAYAGLADE_COORDINATION_CANCEL_LIST_H_

#include <cstdint>
#include <vector>

#include "coordination/class_queue.h"
#include "state/time.h"

namespace papayaglade {

/// The attempts at one upstream that still have to be cancelled there, and the
/// attempts whose connection broke. For the latter, only a cancel reply can
/// prove before the deadline that they have ended.
class cancel_list {
 public:
  /// Adds `attempt`, whose exchange is still in progress, for cancellation.
  void Add(const queued_attempt& attempt);

  /// Adds `attempt`, whose connection broke during exchange `exchange_id`.
  void AddBroken(std::uint64_t exchange_id, const queued_attempt& attempt);

  bool Empty() const { return pending_.empty(); }

  /// Returns the attempts to name in the next cancellation, a limited number.
  std::vector<queued_attempt> NextBatch() const;
  /// Removes the attempts that NextBatch returned, after they were sent.
  void DropBatch();

  /// Removes and returns the exchanges of broken connections whose attempts are
  /// in `ended`.
  std::vector<std::uint64_t> TakeProvenEnded(
      const std::vector<attempt_key>& ended);

  /// Removes the attempts that have ended because of their deadline.
  void Expire(monotonic_time now);

 private:
  struct broken_exchange {
    std::uint64_t exchange_id = 0;
    attempt_key key;
    monotonic_time deadline;
  };

  std::vector<queued_attempt> pending_;
  std::vector<broken_exchange> broken_;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_COORDINATION_CANCEL_LIST_H_
