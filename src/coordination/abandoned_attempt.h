#ifndef PAPAYAGLADE_COORDINATION_ABANDONED_ATTEMPT_H_
#define PAPAYAGLADE_COORDINATION_ABANDONED_ATTEMPT_H_

#include <chrono>

namespace papayaglade {

/// Returns for how long an attempt may continue once its result is no longer
/// needed. `age` is the time since it was sent, `usual_latency` the median
/// latency of its route. Zero means that the attempt is to be cancelled at
/// once.
std::chrono::milliseconds AbandonedAttemptTimeout(
    std::chrono::microseconds age, std::chrono::microseconds usual_latency);

}  // namespace papayaglade

#endif  // PAPAYAGLADE_COORDINATION_ABANDONED_ATTEMPT_H_
