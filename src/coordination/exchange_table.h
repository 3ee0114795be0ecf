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
  queued_attempt work;                    ///< With kWork.
  std::vector<queued_attempt> cancelled;  ///< With kCancel.
  monotonic_time sent;
  monotonic_time due;     ///< A reply later than this is late.
  bool reported = false;  ///< Its end was reported to the entry instance.
  bool ended = false;     ///< The upstream acknowledged its cancellation.
};

/// The exchanges in progress with one upstream, one a connection at most.
class exchange_table {
 public:
  void Add(upstream_exchange added);
  /// Null when there is none; valid until the next Add or Take.
  upstream_exchange* Find(std::uint64_t exchange_id);
  const upstream_exchange* Find(std::uint64_t exchange_id) const;
  const upstream_exchange* FindByConnection(std::uint64_t connection_id) const;
  /// Takes out one that is there.
  upstream_exchange Take(std::uint64_t exchange_id);

  std::vector<std::uint64_t> ListOverdue(monotonic_time now) const;
  bool HasKind(exchange_kind kind) const;
  /// Whether work has no end reported yet.
  bool HasUnreportedWork() const;
  int CountEnded() const;
  std::vector<upstream_exchange>& All() { return exchanges_; }

 private:
  std::vector<upstream_exchange> exchanges_;  // Few: searched through.
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_COORDINATION_EXCHANGE_TABLE_H_
