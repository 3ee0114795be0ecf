#ifndef PAPAYAGLADE_COORDINATION_QUERY_ACCOUNT_H_
#define PAPAYAGLADE_COORDINATION_QUERY_ACCOUNT_H_

#include <cstddef>

#include "state/caller_messages.h"
#include "state/error.h"

namespace papayaglade {

/// Numbers of attempts of one request by purpose.
struct attempt_counts {
  std::size_t first_attempts = 0;
  /// Includes the attempts of restarts.
  int retries = 0;
  int hedges = 0;
  int restarts = 0;
};

/// Returns `part` / `whole`; 0 if `whole` is 0.
double ShareOf(std::size_t part, std::size_t whole);

/// Returns the error for a service that has no snapshot to search.
error NoSnapshotError();

/// Returns the outcome of a query that was answered by fewer shards than its
/// minimum coverage demands. The error names the most frequent reason.
caller_outcome ShortfallOutcome(account details, double minimum,
                                bool may_have_run);

}  // namespace papayaglade

#endif  // PAPAYAGLADE_COORDINATION_QUERY_ACCOUNT_H_
