#ifndef PAPAYAGLADE_COORDINATION_WATCH_WAIT_H_
#define PAPAYAGLADE_COORDINATION_WATCH_WAIT_H_

#include <chrono>

#include "state/change_delays.h"
#include "state/stored_kind.h"

namespace papayaglade {

/// Returns how long a change of `kind` may take to come into force.
std::chrono::milliseconds AllowedDelay(stored_kind kind,
                                       const change_delays& delays);

/// Returns how long the store may hold a watch on `kind` that has no changes.
/// An answer to a watch may be lost without a sign, so each watch ends early
/// enough to be repeated within the delay allowed for the changes behind it.
/// `sharing` is whether other instances follow this one.
std::chrono::milliseconds WatchWait(stored_kind kind,
                                    const change_delays& delays, bool sharing);

}  // namespace papayaglade

#endif  // PAPAYAGLADE_COORDINATION_WATCH_WAIT_H_
