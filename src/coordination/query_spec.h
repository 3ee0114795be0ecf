#ifndef PAPAYAGLADE_COORDINATION_QUERY_SPEC_H_
#define PAPAYAGLADE_COORDINATION_QUERY_SPEC_H_

#include <cstdint>
#include <memory>
#include <string>

#include "coordination/routing_table.h"
#include "state/caller_messages.h"

namespace papayaglade {

/// Attempt ids hold the number of their query above this many bits. A late
/// result is thereby matched to its query, or recognised as one for a finished
/// query.
constexpr unsigned kAttemptBits = 16;
constexpr std::uint64_t kMaxAttempts = 1ULL << kAttemptBits;

inline std::uint64_t QueryOfAttempt(std::uint64_t attempt_id) {
  return attempt_id >> kAttemptBits;
}
inline std::size_t OrdinalOfAttempt(std::uint64_t attempt_id) {
  return attempt_id & (kMaxAttempts - 1);
}

/// An accepted request with the routes and times that apply to it.
struct query_spec {
  /// Number of the request; its entry instance never reuses it.
  std::uint64_t number = 0;
  caller_request request;
  /// Owns what `route` points to.
  std::shared_ptr<const routing_table> routes;
  workload_route route;
  monotonic_time start;
  monotonic_time deadline;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_COORDINATION_QUERY_SPEC_H_
