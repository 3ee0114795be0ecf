#ifndef PAPAYAGLADE_COORDINATION_ROSTER_RECONCILER_H_
#define PAPAYAGLADE_COORDINATION_ROSTER_RECONCILER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "coordination/assignment.h"
#include "coordination/stewardship_timing.h"
#include "state/cluster_view.h"
#include "state/member.h"
#include "state/time.h"

namespace papayaglade {

/// Computes the desired roster of this data centre and decides when this
/// instance writes it. See docs/design/roster.md.
class roster_reconciler {
 public:
  roster_reconciler(roster_member self, std::string data_centre,
                    stewardship_timing timing, std::uint64_t seed);

  /// Sets the members of this data centre. The list may omit this instance.
  void SetMembers(const std::vector<member>& members);
  /// Sets the upstreams that configuration `version` defines for this data
  /// centre.
  void SetUpstreams(std::uint64_t version,
                    std::vector<assignable_upstream> upstreams);
  /// Omits this instance from the desired roster from now on.
  void Leave();
  /// Applies `newest`, the newest known roster.
  void ApplyRoster(const roster& newest, monotonic_time now);

  /// Returns the roster to write now, or nullopt if no write is due. After it
  /// has returned a roster it returns nullopt until OnWriteCompleted is called.
  std::optional<roster> NextWrite(monotonic_time now);
  /// Returns whether the process of `each` has provably terminated.
  bool IsTerminated(const roster_member& each) const;
  /// Records the end of a write. `failed` means that the platform did not
  /// accept it for a reason other than a newer roster; the next write then
  /// backs off.
  void OnWriteCompleted(bool failed, monotonic_time now);

 private:
  roster ComputeDesired() const;
  roster_member WithCurrentDetails(const roster_member& each) const;
  bool DiffersFromNewest(const roster& desired) const;
  bool ShouldRemove(const roster_member& each) const;
  bool IsRetirementExpired(const roster_member& each) const;
  std::vector<assignable_upstream> Upstreams() const;
  std::vector<roster_member> NewMembers() const;
  std::size_t WriterRank() const;
  std::chrono::milliseconds WriteDelay();
  const member* FindReport(const instance_identity& identity) const;

  roster_member self_;
  stewardship_timing timing_;
  std::mt19937_64 random_;
  /// The members of the last SetMembers call, keyed by instance name.
  std::map<std::string, std::vector<member>> reports_;
  std::uint64_t configuration_version_ = 0;
  std::vector<assignable_upstream> upstreams_;
  bool leaving_ = false;
  roster newest_;
  /// Time at which each retired process was first seen as retired, keyed by
  /// incarnation.
  std::map<std::uint64_t, monotonic_time> retired_since_;
  monotonic_time now_{};
  bool inputs_changed_ = true;
  std::optional<roster> desired_;
  std::optional<monotonic_time> write_due_at_;
  bool write_in_flight_ = false;
  int failed_writes_ = 0;
  std::uint64_t write_count_ = 0;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_COORDINATION_ROSTER_RECONCILER_H_
