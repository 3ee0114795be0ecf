#ifndef PAPAYAGLADE_COORDINATION_QUERY_CONTEXT_H_
#define PAPAYAGLADE_COORDINATION_QUERY_CONTEXT_H_

#include <memory>
#include <random>

#include "coordination/hedge_estimator.h"
#include "coordination/name_index.h"
#include "coordination/replica_tracker.h"
#include "coordination/retry_budget.h"
#include "coordination/routing_table.h"
#include "coordination/snapshot_selector.h"
#include "state/identity.h"

namespace papayaglade {

/// State that the runs of one entry instance share: the newest routes and the
/// observations from earlier requests.
struct query_context {
  instance_identity self;
  std::shared_ptr<const routing_table> routes;
  name_index upstreams;
  name_index stewards;
  replica_tracker replicas;
  snapshot_selector snapshots;
  std::mt19937_64 random;
};

/// State that the runs of one workload share.
struct workload_state {
  explicit workload_state(double extra_load);

  hedge_estimator latencies;
  /// Budget for retries and hedges that reach an upstream.
  retry_budget extra_load;
  /// Budget for retries of attempts that provably put no load on an upstream.
  retry_budget reroute_budget;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_COORDINATION_QUERY_CONTEXT_H_
