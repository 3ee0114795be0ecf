#ifndef PAPAYAGLADE_COORDINATION_UPSTREAM_CONTROL_H_
#define PAPAYAGLADE_COORDINATION_UPSTREAM_CONTROL_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "coordination/in_flight_ledger.h"
#include "coordination/response_times.h"
#include "coordination/slow_start.h"
#include "state/configuration.h"
#include "state/time.h"
#include "state/upstream_messages.h"

namespace papayaglade {

/// Times and counts that upstream_control decides by.
struct upstream_control_settings {
  slow_start_settings growth;
  /// Added to a deadline before an unanswered request counts as ended.
  std::chrono::milliseconds unproven_margin{100};
  /// Least time in a cold start of an upstream never known warm.
  std::chrono::milliseconds first_dwell{5000};
  /// Least time in a cold start of an upstream whose warm speed is known.
  std::chrono::milliseconds return_dwell{1000};
  /// A known warm speed is forgotten after this long in a cold start.
  std::chrono::milliseconds forget_speed{60000};
  /// Without a sign for this long and with `settled_successes` an
  /// upstream counts as warm, though its limit still has to be proven.
  std::chrono::milliseconds settled{30000};
  int settled_successes = 32;
  std::chrono::milliseconds shortest_pause{20};  ///< After a refusal.
  std::chrono::milliseconds longest_pause{1000};
  /// A leaving upstream of the same incarnation is not asked before this.
  std::chrono::milliseconds leaving_hold{60000};
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
  /// The upstream refused before running; `code` says why.
  void OnRefused(std::uint64_t exchange_id, upstream_reply_code code,
                 monotonic_time now);
  /// Proven: it ended, or never reached the upstream.
  void OnEnded(std::uint64_t exchange_id);
  /// No reply can come any more, but it may still run.
  void OnUnproven(std::uint64_t exchange_id);
  void OnHealth(const upstream_health& health, monotonic_time now);
  /// Anything that a restarted upstream would also show.
  void OnRestartSign(phase_cause cause, monotonic_time now);
  void OnSilent();
  void OnLost(monotonic_time now);
  /// A silent or lost upstream can be reached again.
  void OnReachable(monotonic_time now);
  /// What was known may be out of date: counts as cold again.
  void Forget(phase_cause cause, monotonic_time now);
  void OnTick(monotonic_time now);

  void SetLimits(const upstream_limits& limits);
  upstream_state Report(monotonic_time now) const;
  void Adopt(const upstream_state& state, monotonic_time now);

  steward_phase Phase() const { return phase_; }
  phase_cause Cause() const { return cause_; }
  int Limit() const { return growth_.Limit(); }
  int InFlight() const { return ledger_.Count(); }
  int Unproven() const { return ledger_.CountUnproven(); }
  const std::string& Incarnation() const { return incarnation_; }
  const response_times& Times() const { return times_; }

 private:
  bool Working() const;
  void FallBack(steward_phase phase, phase_cause cause, monotonic_time now);
  void CheckIncarnation(const std::string& incarnation, monotonic_time now);
  void UpdatePhase(monotonic_time now);
  void Pause(monotonic_time now);
  void StartLeaving();
  void OnHealthWhileLeaving(const upstream_health& health, monotonic_time now);
  bool Known(const std::string& incarnation) const;

  upstream_limits limits_;
  upstream_control_settings settings_;
  slow_start growth_;
  in_flight_ledger ledger_;
  response_times times_;
  steward_phase phase_ = steward_phase::kUnknown;
  phase_cause cause_ = phase_cause::kFirstContact;
  std::string incarnation_;
  std::vector<std::string> past_incarnations_;
  monotonic_time cold_since_{};
  monotonic_time fell_at_{};
  int successes_since_fall_ = 0;
  monotonic_time paused_until_{};
  std::chrono::milliseconds next_pause_;
  bool health_says_cold_ = false;
  bool health_said_leaving_ = false;
  monotonic_time leaving_since_{};
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_COORDINATION_UPSTREAM_CONTROL_H_
