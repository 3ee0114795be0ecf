#ifndef PAPAYAGLADE_COORDINATION_KNOWN_UPSTREAM_H_
#define PAPAYAGLADE_COORDINATION_KNOWN_UPSTREAM_H_

#include <cstddef>
#include <deque>
#include <memory>
#include <optional>

#include "coordination/observed_health.h"
#include "coordination/send_pause.h"
#include "state/time.h"
#include "state/upstream_record.h"

namespace papayaglade {

/// The knowledge of this instance about one upstream.
struct known_upstream {
  upstream_record record;
  observed_health health;
  /// Set once the upstream drains or is no longer listed in the store. Until
  /// this time it is asked only if no other upstream of its service can be;
  /// after it, never.
  std::optional<monotonic_time> usable_until;
  /// The process itself has said that it leaves. Its entry does not change
  /// that.
  bool announced_leaving = false;
  /// Its entry was removed, not only missing after an outage of the store, and
  /// is not back.
  bool removed = false;
  /// A pause that the upstream has asked for.
  send_pause pause;
  /// The upstream is cold before this time.
  monotonic_time warm_at;
  /// Connections that this instance has open or is opening.
  std::size_t connections = 0;
  /// Times of the requests sent while cold, within the warm-up window.
  std::deque<monotonic_time> cold_request_times;

  bool IsLeaving() const { return usable_until.has_value(); }
  /// Returns whether the time is over in which it may be asked.
  bool HasLeft(monotonic_time now) const {
    return HasPassed(usable_until, now);
  }
};

using upstream_pointer = std::shared_ptr<known_upstream>;

}  // namespace papayaglade

#endif  // PAPAYAGLADE_COORDINATION_KNOWN_UPSTREAM_H_
