#ifndef PAPAYAGLADE_COORDINATION_QUERY_SPEC_H_
#define PAPAYAGLADE_COORDINATION_QUERY_SPEC_H_

#include <cstdint>
#include <memory>
#include <string>

#include "coordination/routing_table.h"
#include "state/caller_messages.h"

namespace papayaglade {

/// Attempt ids carry the number of their query above this many bits, so that
/// a late result finds its query, or finds that the query is over.
constexpr unsigned kAttemptBits = 16;
constexpr std::uint64_t kMaxAttempts = 1ULL << kAttemptBits;

inline std::uint64_t QueryOfAttempt(std::uint64_t attempt_id) {
  return attempt_id >> kAttemptBits;
}
inline std::size_t OrdinalOfAttempt(std::uint64_t attempt_id) {
  return attempt_id & (kMaxAttempts - 1);
}

/// One accepted request with what it was accepted under.
struct query_spec {
  std::uint64_t number = 0;  ///< Never reused by its entry instance.
  caller_request request;
  std::shared_ptr<const routing_table> routes;  ///< Keeps `route` alive.
  workload_route route;
  monotonic_time start;
  monotonic_time deadline;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_COORDINATION_QUERY_SPEC_H_
