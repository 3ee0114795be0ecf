#ifndef PAPAYAGLADE_STATE_TIME_H_
#define PAPAYAGLADE_STATE_TIME_H_

#include <chrono>

namespace papayaglade {

/// The clock for all decisions. It never steps, and it keeps running while the
/// process is frozen.
using monotonic_clock = std::chrono::steady_clock;
using monotonic_time = monotonic_clock::time_point;

}  // namespace papayaglade

#endif  // PAPAYAGLADE_STATE_TIME_H_
