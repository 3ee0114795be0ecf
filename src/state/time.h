#ifndef PAPAYAGLADE_STATE_TIME_H_
#define PAPAYAGLADE_STATE_TIME_H_

#include <chrono>

namespace papayaglade {

/// The clock of every decision; it never steps and does not stop in a freeze.
using monotonic_clock = std::chrono::steady_clock;
using monotonic_time = monotonic_clock::time_point;

}  // namespace papayaglade

#endif  // PAPAYAGLADE_STATE_TIME_H_
