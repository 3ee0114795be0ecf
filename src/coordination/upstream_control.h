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

/// ResponseTimes and counts that upstream_control decides by.
struct upstream_control_settings {
  slow_start_settings growth;
  /// Added to a deadline before an unanswered request counts as ended.
  std::chrono::milliseconds deadline_margin{100};
  /// Least time in a cold start of an upstream never known warm.
  std::chrono::milliseconds min_first_cold_time{5000};
  /// Least time in a cold start of an upstream whose warm speed is known.
  std::chrono::milliseconds min_return_cold_time{1000};
  /// A known warm speed is forgotten after this long in a cold start.
  std::chrono::milliseconds warm_time_retention{60000};
  /// Without a sign for this long and with `settle_successes` an
  /// upstream counts as warm, though its limit still has to be proven.
  std::chrono::milliseconds settle_time{30000};
  int settle_successes = 32;
  std::chrono::milliseconds min_pause{20};  ///< After a refusal.
  std::chrono::milliseconds max_pause{1000};
  /// A leaving upstream of the same incarnation is not asked before this.
  std::chrono::milliseconds max_leaving_time{60000};
};

/// Why an upstream was last sent back to a cold start or stopped.
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

/// Decides how many requests one upstream may have at present.
class upstream_control {
 public:
  upstream_control(const upstream_limits& limits,
                   const upstream_control_settings& settings);

  /// Whether one more request may go; `verified` tells whether the known
  /// incarnation has answered on the connection it would take.
  bool MaySend(bool verified, monotonic_time now) const;

  void OnSent(std::uint64_t exchange_id, monotonic_time deadline,
              bool verified);
  void OnAnswered(std::uint64_t exchange_id, const std::string& incarnation,
                  std::chrono::microseconds took, monotonic_time now);
  /// The upstream refused before running; `verdict` says why.
  void OnRefused(std::uint64_t exchange_id, upstream_verdict verdict,
                 monotonic_time now);
  /// Proven: it ended, or never reached the upstream.
  void OnEnded(std::uint64_t exchange_id);
  /// No reply can come any more, but it may still run.
  void OnUnproven(std::uint64_t exchange_id);
  void OnHealth(const upstream_health& health, monotonic_time now);
  /// Anything that a restarted upstream would also show.
  void OnPossibleRestart(phase_cause cause, monotonic_time now);
  void OnSilent();
  void OnLost(monotonic_time now);
  /// A silent or lost upstream can be reached again.
  void OnReachable(monotonic_time now);
  /// What was known may be out of date: counts as cold again.
  void ResetToUnknown(phase_cause cause, monotonic_time now);
  void OnTick(monotonic_time now);

  void SetLimits(const upstream_limits& limits);
  upstream_state ExportState(monotonic_time now) const;
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
