#ifndef PAPAYAGLADE_COORDINATION_EXCHANGE_TABLE_H_
#define PAPAYAGLADE_COORDINATION_EXCHANGE_TABLE_H_

#include <cstdint>
#include <vector>

#include "coordination/class_queue.h"
#include "state/time.h"

namespace papayaglade {

enum class exchange_kind { kWork, kCancel, kHealth };

/// One exchange in progress on a connection to an upstream.
struct upstream_exchange {
  std::uint64_t id = 0;
  std::uint64_t connection_id = 0;
  exchange_kind kind = exchange_kind::kWork;
  queued_attempt work;  ///< The attempt; set for kWork.
  /// The attempts to cancel; set for kCancel.
  std::vector<queued_attempt> cancelled;
  monotonic_time sent;
  monotonic_time due;     ///< Time at which the reply becomes overdue.
  bool reported = false;  ///< The end was reported to the entry instance.
  bool ended = false;     ///< The upstream acknowledged its cancellation.
};

/// The exchanges in progress with one upstream, at most one per connection.
class exchange_table {
 public:
  void Add(upstream_exchange added);
  /// Returns null if there is none. The pointer is valid until the next Add or
  /// Take.
  upstream_exchange* Find(std::uint64_t exchange_id);
  const upstream_exchange* Find(std::uint64_t exchange_id) const;
  const upstream_exchange* FindByConnection(std::uint64_t connection_id) const;
  /// Removes and returns the exchange, which must be present.
  upstream_exchange Take(std::uint64_t exchange_id);

  std::vector<std::uint64_t> ListOverdue(monotonic_time now) const;
  bool HasKind(exchange_kind kind) const;
  /// Returns whether any work exchange has not been reported yet.
  bool HasUnreportedWork() const;
  int CountEnded() const;
  std::vector<upstream_exchange>& All() { return exchanges_; }

 private:
  // There are few, so they are searched linearly.
  std::vector<upstream_exchange> exchanges_;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_COORDINATION_EXCHANGE_TABLE_H_
