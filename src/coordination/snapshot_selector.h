#ifndef PAPAYAGLADE_COORDINATION_SNAPSHOT_SELECTOR_H_
#define PAPAYAGLADE_COORDINATION_SNAPSHOT_SELECTOR_H_

#include <cstdint>
#include <memory>
#include <unordered_map>
#include <vector>

#include "coordination/routing_table.h"
#include "state/time.h"

namespace papayaglade {

/// Records which upstreams lack which snapshots, and chooses the snapshot that
/// a query is pinned to.
class snapshot_selector {
 public:
  /// Records that `upstream` reported not to hold `missing`, but to hold
  /// `held`.
  void RecordMissing(std::uint32_t upstream, std::uint64_t missing,
                     const std::vector<std::uint64_t>& held,
                     monotonic_time now);
  /// Records that `upstream` holds `snapshot`.
  void RecordHeld(std::uint32_t upstream, std::uint64_t snapshot);

  bool IsMissing(std::uint32_t upstream, std::uint64_t snapshot,
                 monotonic_time now) const;

  /// Returns the share of the shards of `plan` that have a replica not known to
  /// lack its snapshot.
  double ServedShare(const snapshot_plan& plan, monotonic_time now) const;

  /// Returns the newest snapshot that almost all shards, and at least the share
  /// `minimum`, serve. If there is none, returns the snapshot that the most
  /// shards serve; null if the service has no snapshot.
  std::shared_ptr<const snapshot_plan> Choose(const service_plan& service,
                                              double minimum,
                                              monotonic_time now) const;

  /// Returns the result of Choose if more shards serve it than `pinned`; else
  /// null.
  std::shared_ptr<const snapshot_plan> ChooseBetter(const service_plan& service,
                                                    const snapshot_plan& pinned,
                                                    double minimum,
                                                    monotonic_time now) const;

 private:
  struct missing_snapshot {
    std::uint64_t snapshot = 0;
    monotonic_time until;
  };

  std::unordered_map<std::uint32_t, std::vector<missing_snapshot>> missing_;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_COORDINATION_SNAPSHOT_SELECTOR_H_
