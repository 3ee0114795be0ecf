#include "coordination/query_context.h"

namespace papayaglade {

namespace {

// A rerouted attempt puts no load on an upstream, but it takes time of stewards
// and links, so the number of attempts must stay bounded when the whole tier
// refuses.
constexpr double kReroutesPerFirstAttempt = 0.5;

}  // namespace

workload_state::workload_state(double extra_load)
    : extra_load(extra_load), reroute_budget(kReroutesPerFirstAttempt) {}

}  // namespace papayaglade
