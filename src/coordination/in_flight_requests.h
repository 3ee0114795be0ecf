#ifndef PAPAYAGLADE_COORDINATION_IN_FLIGHT_REQUESTS_H_
#define PAPAYAGLADE_COORDINATION_IN_FLIGHT_REQUESTS_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "state/time.h"

namespace papayaglade {

/// Every request at one upstream whose end is not proven.
class in_flight_requests {
 public:
  struct entry {
    std::uint64_t exchange_id = 0;
    monotonic_time ends_by;     ///< The upstream has stopped it by then.
    bool verified = false;      ///< Sent on a verified connection.
    bool unproven = false;      ///< No reply can come any more.
    int in_flight_at_send = 0;  ///< Itself included.
  };

  void Add(std::uint64_t exchange_id, monotonic_time ends_by, bool verified);

  /// Counts a request that another steward sent.
  void AddForeign(monotonic_time ends_by);

  /// Its end is proven; returns nothing when it was not counted.
  std::optional<entry> Remove(std::uint64_t exchange_id);

  /// No reply can come any more, so only time proves its end.
  void MarkUnproven(std::uint64_t exchange_id);

  /// Drops the unproven entries that must have ended by `now`.
  void Expire(monotonic_time now);

  int Count() const { return static_cast<int>(entries_.size()); }
  int CountUnproven() const;
  int CountUnverified() const;
  const std::vector<entry>& Entries() const { return entries_; }

 private:
  std::vector<entry> entries_;  // At most a few dozen: searched linearly.
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_COORDINATION_IN_FLIGHT_REQUESTS_H_
