#ifndef PAPAYAGLADE_COORDINATION_ADMISSION_GATE_H_
#define PAPAYAGLADE_COORDINATION_ADMISSION_GATE_H_

#include <cstdint>
#include <optional>
#include <string>

#include "coordination/steward_standing.h"
#include "state/shard_messages.h"
#include "state/upstream_messages.h"

namespace papayaglade {

/// Why an upstream in this phase gets no new work; nothing when it may.
std::optional<shard_reason> ReasonForPhase(steward_phase phase);

/// Whether this instance may send new work to one upstream.
class admission_gate {
 public:
  /// `standing` must outlive the gate.
  admission_gate(std::string upstream, const steward_standing& standing);

  /// Takes a changed standing in; returns whether the stewardship just ended.
  bool OnStandingChanged(monotonic_time now);
  /// How much longer than the fence an earlier steward's work may run.
  void SetExtraFenceTime(std::chrono::milliseconds time) {
    extra_fence_time_ = time;
  }
  /// The last steward told what of its work may still run.
  void OnHandoverReceived();
  /// Closes until a later roster names this instance again.
  void Release();
  void SetDataCentreOut(bool out) { data_centre_out_ = out; }
  bool DataCentreOut() const { return data_centre_out_; }

  /// Whether connections to the upstream are wanted at all.
  bool IsServing() const;

  /// Why nothing new may be sent at `now`; nothing when it may.
  std::optional<shard_reason> BlockReason(steward_phase phase,
                                          monotonic_time now) const;

 private:
  std::string upstream_;
  const steward_standing& standing_;
  bool is_steward_ = false;
  bool data_centre_out_ = false;
  std::optional<std::uint64_t> released_at_epoch_;
  std::chrono::milliseconds extra_fence_time_{0};
  bool handed_over_ = false;
  monotonic_time
      earlier_work_ends_at_{};  // Nothing of an earlier steward runs then.
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_COORDINATION_ADMISSION_GATE_H_
