#ifndef PAPAYAGLADE_COORDINATION_UPSTREAM_RESTRICTIONS_H_
#define PAPAYAGLADE_COORDINATION_UPSTREAM_RESTRICTIONS_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>

#include "coordination/send_pause.h"
#include "state/time.h"
#include "state/upstream_record.h"

namespace papayaglade {

/// What one process of an upstream has asked of this instance, and the last of
/// its reports that this instance knows.
struct upstream_restriction {
  /// Set once it has said that it leaves: the end of its drain time.
  std::optional<monotonic_time> usable_until;
  send_pause pause;
  std::int64_t sequence = 0;  ///< Of its last report.
  bool removed = false;       ///< Its entry was removed after that report.

  /// Returns whether that time is over.
  bool HasLeft(monotonic_time now) const {
    return HasPassed(usable_until, now);
  }
};

/// Remembers what upstream processes have asked of this instance, and those
/// that leave. It outlives their entries in the store, which may lapse and be
/// back. The upstreams that were remembered first are forgotten beyond
/// `kCapacity`.
class upstream_restrictions {
 public:
  static constexpr std::size_t kCapacity = 16384;

  /// Returns the restriction of the process in `record`, or null if nothing is
  /// remembered of it.
  const upstream_restriction* Find(const upstream_record& record) const;
  /// Returns the start time of the process under the id of which something is
  /// remembered, or 0 if there is none.
  std::int64_t StartTime(const std::string& id) const;
  /// Remembers the process in `record`, without a restriction, in place of any
  /// other one under its id.
  void Replace(const upstream_record& record);
  /// Sets the restriction of the process in `record`, unless a later process
  /// under the same id has one.
  void Remember(const upstream_record& record,
                const upstream_restriction& restriction);

 private:
  struct entry {
    std::int64_t start_time_ms = 0;  ///< Of the process.
    upstream_restriction restriction;
  };

  std::unordered_map<std::string, entry> by_id_;
  /// The ids in `by_id_`, the oldest first.
  std::deque<std::string> ids_;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_COORDINATION_UPSTREAM_RESTRICTIONS_H_
