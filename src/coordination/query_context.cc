#include "coordination/query_context.h"

namespace papayaglade {

namespace {

// A rerouted attempt puts no load on an upstream, but each one costs stewards
// and links time, so that a refusing tier must not be asked without bound.
constexpr double kReroutesPerFirstAttempt = 0.5;

}  // namespace

workload_state::workload_state(double extra_load)
    : extra_load(extra_load), reroute_budget(kReroutesPerFirstAttempt) {}

}  // namespace papayaglade
