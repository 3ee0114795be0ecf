#ifndef PAPAYAGLADE_COORDINATION_UPSTREAM_CONTROL_H_
#define PAPAYAGLADE_COORDINATION_UPSTREAM_CONTROL_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "coordination/in_flight_requests.h"
#include "coordination/response_times.h"
#include "coordination/slow_start.h"
#include "state/configuration.h"
#include "state/time.h"
#include "state/upstream_messages.h"

namespace papayaglade {

/// Time and count limits of upstream_control.
struct upstream_control_settings {
  slow_start_settings growth;
  /// Time after its deadline at which an unanswered request counts as ended.
  std::chrono::milliseconds deadline_margin{100};
  /// Minimum duration of a cold start while no warm response time is known.
  std::chrono::milliseconds min_first_cold_time{5000};
  /// Minimum duration of a cold start when the warm response time is known.
  std::chrono::milliseconds min_return_cold_time{1000};
  /// Duration of a cold start after which the warm response time is discarded.
  std::chrono::milliseconds warm_time_retention{60000};
  /// An upstream counts as warm after this time without a sign of a restart or
  /// overload and after `settle_successes`, even if it has not proven the
  /// maximum limit.
  std::chrono::milliseconds settle_time{30000};
  int settle_successes = 32;
  /// First pause after a refusal at the minimum limit.
  std::chrono::milliseconds min_pause{20};
  std::chrono::milliseconds max_pause{1000};
  /// Time for which health replies of a leaving upstream are ignored if they do
  /// not prove that it has returned.
  std::chrono::milliseconds max_leaving_time{60000};
};

/// The reason why an upstream last fell back to a cold start or was stopped.
enum class phase_cause {
  kNone,
  kFirstContact,
  kConnectionRefused,
  kConnectionReset,
  kIncarnationChanged,
  kHealthCold,
  kRefusedCold,
  kShed,
  kSlowReplies,
  kLeavingSign,
  kNoAnswer,
  kStandingLost,
  kPaused,
  kReturned,
};

/// Returns the stable wire name of `cause`, such as "connection_reset".
const char* PhaseCauseName(phase_cause cause);

/// Limits the number of concurrent requests to one upstream.
class upstream_control {
 public:
  upstream_control(const upstream_limits& limits,
                   const upstream_control_settings& settings);

  /// Returns whether one more request may be sent. `verified` tells whether the
  /// known incarnation has answered on the connection that would carry it.
  bool MaySend(bool verified, monotonic_time now) const;

  void OnSent(std::uint64_t exchange_id, monotonic_time deadline,
              bool verified);
  void OnAnswered(std::uint64_t exchange_id, const std::string& incarnation,
                  std::chrono::microseconds took, monotonic_time now);
  /// Records that the upstream refused the request without running it, for the
  /// reason `code`.
  void OnRefused(std::uint64_t exchange_id, upstream_reply_code code,
                 monotonic_time now);
  /// Records that the request provably ended or never reached the upstream.
  void OnEnded(std::uint64_t exchange_id);
  /// Records that no reply can arrive any more, while the request may still
  /// run.
  void OnUnproven(std::uint64_t exchange_id);
  void OnHealth(const upstream_health& health, monotonic_time now);
  /// Handles a sign of a possible restart, given by `cause`.
  void OnPossibleRestart(phase_cause cause, monotonic_time now);
  void OnSilent();
  void OnLost(monotonic_time now);
  /// Records that a silent or lost upstream can be reached again.
  void OnReachable(monotonic_time now);
  /// Returns to the unknown phase and the minimum limit, because the known
  /// state may be outdated.
  void ResetToUnknown(phase_cause cause, monotonic_time now);
  void OnTick(monotonic_time now);

  void SetLimits(const upstream_limits& limits);
  /// Returns the state that a handover passes to the next steward.
  upstream_state ExportState(monotonic_time now) const;
  /// Applies the state from a handover. The requests in flight and a leaving
  /// phase always apply; the rest is ignored if this instance knows another
  /// incarnation or has evidence of its own about the phase.
  void ImportState(const upstream_state& state, monotonic_time now);

  steward_phase Phase() const { return phase_; }
  phase_cause Cause() const { return cause_; }
  int Limit() const { return slow_start_.Limit(); }
  int InFlight() const { return in_flight_.Count(); }
  int Unproven() const { return in_flight_.CountUnproven(); }
  const std::string& Incarnation() const { return incarnation_; }
  const response_times& ResponseTimes() const { return response_times_; }

 private:
  bool IsServing() const;
  void FallBack(steward_phase phase, phase_cause cause, monotonic_time now);
  void UpdateIncarnation(const std::string& incarnation, monotonic_time now);
  void UpdatePhase(monotonic_time now);
  void StartPause(monotonic_time now);
  void StartLeaving();
  void OnHealthWhileLeaving(const upstream_health& health, monotonic_time now);
  bool IsKnownIncarnation(const std::string& incarnation) const;

  upstream_limits limits_;
  upstream_control_settings settings_;
  slow_start slow_start_;
  in_flight_requests in_flight_;
  response_times response_times_;
  steward_phase phase_ = steward_phase::kUnknown;
  phase_cause cause_ = phase_cause::kFirstContact;
  std::string incarnation_;
  std::vector<std::string> past_incarnations_;
  monotonic_time cold_since_{};
  monotonic_time fell_back_at_{};
  int successes_since_fallback_ = 0;
  monotonic_time paused_until_{};
  std::chrono::milliseconds next_pause_;
  bool health_reports_cold_ = false;
  bool health_reported_leaving_ = false;
  monotonic_time leaving_since_{};
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_COORDINATION_UPSTREAM_CONTROL_H_
