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
std::optional<shard_reason> ReasonOfPhase(steward_phase phase);

/// Whether this instance may send new work to one upstream.
class admission_gate {
 public:
  /// `standing` must outlive the gate.
  admission_gate(std::string upstream, const steward_standing& standing);

  /// Takes a changed standing in; returns whether the stewardship just ended.
  bool OnStandingChanged();
  /// Closes until a later roster names this instance again.
  void Release();
  void SetDataCentreOut(bool out) { out_ = out; }
  bool DataCentreOut() const { return out_; }

  /// Whether connections to the upstream are wanted at all.
  bool Serving() const;

  /// Why nothing new may be sent at `now`; nothing when it may.
  std::optional<shard_reason> Blocked(steward_phase phase,
                                      monotonic_time now) const;

 private:
  std::string upstream_;
  const steward_standing& standing_;
  bool held_ = false;
  bool out_ = false;
  std::optional<std::uint64_t> released_at_epoch_;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_COORDINATION_ADMISSION_GATE_H_
