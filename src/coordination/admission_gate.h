#ifndef PAPAYAGLADE_COORDINATION_ADMISSION_GATE_H_
#define PAPAYAGLADE_COORDINATION_ADMISSION_GATE_H_

#include <cstdint>
#include <optional>
#include <string>

#include "coordination/steward_standing.h"
#include "state/shard_messages.h"
#include "state/upstream_messages.h"

namespace papayaglade {

/// Returns why an upstream in `phase` gets no new work, or nullopt if it may
/// get some.
std::optional<shard_reason> ReasonForPhase(steward_phase phase);

/// Decides whether this instance may send new work to one upstream.
class admission_gate {
 public:
  /// `standing` must outlive the gate.
  admission_gate(std::string upstream, const steward_standing& standing);

  /// Applies a changed standing. Returns whether the stewardship has just
  /// ended.
  bool OnStandingChanged(monotonic_time now);
  /// Sets how long the work of an earlier steward may run after the fence ends.
  void SetExtraFenceTime(std::chrono::milliseconds time) {
    extra_fence_time_ = time;
  }
  /// Records that the previous steward has reported which of its work may still
  /// run.
  void OnHandoverReceived();
  /// Blocks new work until a later roster names this instance again.
  void Release();
  void SetDataCentreOut(bool out) { data_centre_out_ = out; }
  bool DataCentreOut() const { return data_centre_out_; }

  /// Returns whether this instance needs connections to the upstream.
  bool IsServing() const;

  /// Returns why no new work may be sent at `now`, or nullopt if it may.
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
  // When the work of an earlier steward has ended.
  monotonic_time earlier_work_ends_at_{};
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_COORDINATION_ADMISSION_GATE_H_
