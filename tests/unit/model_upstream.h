#ifndef PAPAYAGLADE_TESTS_UNIT_MODEL_UPSTREAM_H_
#define PAPAYAGLADE_TESTS_UNIT_MODEL_UPSTREAM_H_

#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "coordination/upstream_dispatcher.h"

namespace papayaglade {

/// Simulates one upstream and its connections in virtual time, together with
/// the dispatcher under test. The upstream can become cold, report a wrong
/// health, shed load and lose answers.
class model_upstream : public dispatch_port {
 public:
  struct finished {
    queued_attempt attempt;
    shard_result result;
  };

  model_upstream(const upstream_limits& limits, std::uint64_t seed);

  // Faults and load that a test applies.
  /// Restarts the process. Without `resets` the open connections become silent
  /// instead of being reset.
  void Restart(std::chrono::milliseconds down, std::chrono::milliseconds cold,
               bool resets = true);
  /// Resets one connection while its work goes on.
  void ResetBusyConnection();
  void GoColdWithoutRestart(std::chrono::milliseconds cold);
  void Freeze(std::chrono::milliseconds time);  ///< Pauses the steward.
  void LoseAnswers(bool lose) { lose_answers_ = lose; }
  void SilenceConnection();  ///< One connection loses all later data.
  void GrantLease(std::chrono::milliseconds lease);
  void Submit(std::chrono::milliseconds deadline,
              request_class priority = request_class::kCounter);
  void Run(std::chrono::milliseconds time);

  // dispatch_port
  monotonic_time Now() const override { return now_; }
  std::uint64_t NextId() override { return ++last_id_; }
  bool Open(const open_connection& command) override;
  void Close(std::uint64_t connection_id) override;
  bool SendWork(std::uint64_t connection_id, std::uint64_t exchange_id,
                const queued_attempt& attempt, monotonic_time now,
                monotonic_time not_after) override;
  bool SendCancel(std::uint64_t connection_id, std::uint64_t exchange_id,
                  const std::vector<queued_attempt>& attempts) override;
  bool SendHealth(std::uint64_t connection_id,
                  std::uint64_t exchange_id) override;
  void Finish(const queued_attempt& attempt, shard_result result) override;

  upstream_health health_answer;
  steward_standing standing;
  upstream_dispatcher dispatcher;
  std::vector<finished> results;
  std::set<std::uint64_t> ran;  ///< Attempts that started to run.
  std::uint64_t sent = 0;
  int over_cold_bound = 0;  ///< Arrivals beyond the slots of a cold upstream.
  int unproven_sends = 0;   ///< Sends to a cold upstream without standing.
  int uncounted = 0;        ///< How often more ran than the dispatcher counted.
  int stale_sends = 0;      ///< Sends after the deadline of the attempt.
  upstream_reply_code refusal = upstream_reply_code::kShed;
  std::string incarnation = "1";

 private:
  struct running {
    std::uint64_t connection_id = 0;
    std::uint64_t attempt_id = 0;
  };
  struct connection {
    bool up = false;
    bool silent = false;
    std::uint64_t exchange_id = 0;  ///< The last one that it carried.
  };

  void ScheduleAt(monotonic_time when, std::function<void()> callback);
  void ToSteward(std::function<void()> callback);
  void Arrive(std::uint64_t connection_id, std::uint64_t exchange_id,
              const queued_attempt& attempt, monotonic_time sent_at,
              int signalled);
  void ResetConnection(std::uint64_t connection_id);
  void Answer(std::uint64_t connection_id, std::uint64_t exchange_id,
              const upstream_reply& reply);
  bool IsUp(std::uint64_t connection_id) const;
  bool IsCold() const { return now_ < cold_until_; }
  std::chrono::microseconds ServiceTime();
  void CheckInFlightCount();

  upstream_limits limits_;
  std::mt19937_64 random_;
  monotonic_time now_{std::chrono::hours(1)};
  std::multimap<monotonic_time, std::function<void()>> events_;
  std::map<std::uint64_t, connection> connections_;
  // The running requests, keyed by exchange id.
  std::map<std::uint64_t, running> running_;
  std::uint64_t last_id_ = 0;
  std::uint64_t last_attempt_ = 0;
  int process_number_ = 1;
  monotonic_time down_until_{};
  monotonic_time cold_until_{};
  int cold_starts_ = 0;      // Counts cold starts without a restart.
  int last_cold_start_ = 0;  // Number of the last one; zero after a restart.
  // Number of the last cold start that the steward noticed.
  int last_noticed_cold_start_ = 0;
  monotonic_time frozen_until_{};
  bool lose_answers_ = false;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_TESTS_UNIT_MODEL_UPSTREAM_H_
