#ifndef PAPAYAGLADE_COORDINATION_CANCEL_LIST_H_
#define PAPAYAGLADE_COORDINATION_CANCEL_LIST_H_

#include <cstdint>
#include <vector>

#include "coordination/class_queue.h"
#include "state/time.h"

namespace papayaglade {

/// The attempts at one upstream that it is to be asked to end, and those
/// whose connection broke, for which only its word can prove an end early.
class cancel_list {
 public:
  /// The upstream shall end `attempt`, whose exchange is still open.
  void Add(const queued_attempt& attempt);

  /// The connection of exchange `exchange_id` broke while it carried
  /// `attempt`.
  void AddBroken(std::uint64_t exchange_id, const queued_attempt& attempt);

  bool Empty() const { return pending_.empty(); }

  /// A bounded number of attempts to name in the next cancellation.
  std::vector<queued_attempt> NextBatch() const;
  /// Forgets the attempts that NextBatch gave: they were sent.
  void DropBatch();

  /// Exchanges of broken connections that `ended` proves to run no more.
  std::vector<std::uint64_t> TakeProvenEnded(
      const std::vector<attempt_key>& ended);

  /// Drops what has ended by its deadline anyway.
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
