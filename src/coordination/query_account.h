#ifndef PAPAYAGLADE_COORDINATION_QUERY_ACCOUNT_H_
#define PAPAYAGLADE_COORDINATION_QUERY_ACCOUNT_H_

#include <cstddef>

#include "state/caller_messages.h"
#include "state/error.h"

namespace papayaglade {

/// How often one request asked, by what for.
struct attempt_counts {
  std::size_t first_attempts = 0;
  int retries = 0;  ///< Those of restarts included.
  int hedges = 0;
  int restarts = 0;
};

/// `part` of `whole` as a share of 1.
double ShareOf(std::size_t part, std::size_t whole);

/// The service of a query has no snapshot to search.
error NoSnapshotError();

/// The outcome of a query of which fewer shards answered than it demands; the
/// error names the commonest reason.
caller_outcome ShortfallOutcome(account details, double minimum,
                                bool may_have_run);

}  // namespace papayaglade

#endif  // PAPAYAGLADE_COORDINATION_QUERY_ACCOUNT_H_
