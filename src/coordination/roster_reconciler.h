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

/// Decides what the roster of the own data centre should say, and when this
/// instance is to write it. See docs/design/roster.md.
class roster_reconciler {
 public:
  roster_reconciler(roster_member self, std::string data_centre,
                    stewardship_timing timing, std::uint64_t seed);

  /// Members of the own data centre; this instance may be left out.
  void SetMembers(const std::vector<member>& members);
  /// The upstreams of the own data centre by configuration `version`.
  void SetUpstreams(std::uint64_t version,
                    std::vector<assignable_upstream> upstreams);
  /// From now on this instance asks to be taken out.
  void Leave();
  /// The newest roster known.
  void ApplyRoster(const roster& newest, monotonic_time now);

  /// The roster to write now; it differs from the newest known one. Nothing
  /// more is due until OnWriteCompleted.
  std::optional<roster> NextWrite(monotonic_time now);
  /// Whether the process of `each` has ended for certain.
  bool IsTerminated(const roster_member& each) const;
  /// `failed`: the platform did not take the write for a reason other than a
  /// newer roster, so the next try backs off.
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
  std::map<std::string, std::vector<member>> reports_;  ///< By name.
  std::uint64_t configuration_version_ = 0;
  std::vector<assignable_upstream> upstreams_;
  bool leaving_ = false;
  roster newest_;
  std::map<std::uint64_t, monotonic_time> retired_since_;  ///< By incarnation.
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
