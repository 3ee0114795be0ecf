#ifndef PAPAYAGLADE_COORDINATION_IN_FLIGHT_REQUESTS_H_
#define PAPAYAGLADE_COORDINATION_IN_FLIGHT_REQUESTS_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "state/time.h"

namespace papayaglade {

/// The requests at one upstream that are not proven to have ended.
class in_flight_requests {
 public:
  struct entry {
    std::uint64_t exchange_id = 0;
    /// Time by which the upstream has stopped the request.
    monotonic_time ends_by;
    /// The request was sent on a verified connection.
    bool verified = false;
    bool unproven = false;  ///< No reply can arrive any more.
    /// Requests in flight at the send, including this one.
    int in_flight_at_send = 0;
  };

  void Add(std::uint64_t exchange_id, monotonic_time ends_by, bool verified);

  /// Adds a request that another steward sent.
  void AddForeign(monotonic_time ends_by);

  /// Removes and returns a request that has provably ended. Returns nullopt if
  /// it is not in the list.
  std::optional<entry> Remove(std::uint64_t exchange_id);

  /// Marks a request to which no reply can arrive any more, so that only its
  /// deadline proves its end.
  void MarkUnproven(std::uint64_t exchange_id);

  /// Removes the unproven requests that must have ended by `now`.
  void Expire(monotonic_time now);

  int Count() const { return static_cast<int>(entries_.size()); }
  int CountUnproven() const;
  int CountUnverified() const;
  const std::vector<entry>& Entries() const { return entries_; }

 private:
  // There are at most a few dozen, so they are searched linearly.
  std::vector<entry> entries_;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_COORDINATION_IN_FLIGHT_REQUESTS_H_
