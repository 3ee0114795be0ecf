#ifndef PAPAYAGLADE_COORDINATION_REQUEST_RUN_H_
#define PAPAYAGLADE_COORDINATION_REQUEST_RUN_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "coordination/attempt_policy.h"
#include "coordination/upstream_directory.h"
#include "state/entry_messages.h"
#include "state/route.h"
#include "state/time.h"

namespace papayaglade {

/// One sending of a request to one upstream.
struct attempt {
  std::uint64_t number = 0;  ///< Within its run.
  std::size_t leg = 0;       ///< The shard's place in the route; else 0.
  upstream_pointer upstream;
  std::chrono::milliseconds time_left{0};
  bool is_repeat = false;
};

/// What a run of a request asks of its surroundings.
class run_port {
 public:
  virtual ~run_port() = default;
  virtual void Send(const attempt& attempt) = 0;
  /// The result of the attempt is of no more use.
  virtual void Abandon(std::uint64_t number) = 0;
  /// The last call of a run.
  virtual void Finish(entry_answer answer) = 0;
};

/// How the legs of a run fared, for its log line.
struct run_statistics {
  std::size_t legs = 0;
  std::size_t answered = 0;
  std::size_t attempts = 0;
  std::size_t hedges = 0;
  std::size_t retries = 0;
  std::size_t denied_repeats =
      0;  ///< Repeats for which the budget had no room.
  std::size_t repeats_without_upstream =
      0;  ///< Repeats for which no other upstream could be asked.
  std::size_t unsent_legs = 0;  ///< Legs for which no upstream could be asked.
};

/// Decides for one request which upstreams are asked, when another one is
/// asked too, and when what has come is enough. A route to one service has one
/// leg, a fan-out a leg for each shard.
class request_run {
 public:
  struct context {
    std::shared_ptr<const tier_configuration> configuration;
    const route* matched_route = nullptr;  ///< Lives in `configuration`.
    monotonic_time arrival;
    std::optional<std::chrono::milliseconds> time_left;
  };

  /// The references must outlive the run.
  request_run(context context, upstream_directory& directory,
              attempt_policy& policy, run_port& port);

  void Start(monotonic_time now);
  /// The end of an attempt that was not abandoned.
  void OnResult(std::uint64_t number, attempt_result result,
                monotonic_time now);
  /// To be called at NextTimer or later.
  void OnTimer(monotonic_time now);
  /// The caller has left: gives up all attempts, without Finish.
  void Cancel();

  monotonic_time NextTimer() const { return next_timer_; }
  bool IsDone() const { return is_done_; }
  const route& Route() const { return *context_.matched_route; }
  run_statistics Statistics() const;

 private:
  enum class leg_state { kOpen, kAnswered, kGivenUp };
  struct leg {
    std::string service;
    leg_state state = leg_state::kOpen;
    std::vector<std::string> tried_upstreams;  ///< Ids of upstreams.
    std::vector<std::uint64_t> in_flight;      ///< Numbers of attempts.
    std::size_t attempts_sent = 0;             ///< Attempts that reached one.
    std::size_t unreachable_attempts = 0;      ///< Attempts that reached none.
    std::size_t possible_executions = 0;       ///< Attempts that may have run.
    monotonic_time hedge_at;
    monotonic_time latest_hedge_at;  ///< When repeats are scarce.
    bool hedged = false;
    upstream_pointer last_upstream;      ///< The upstream asked last.
    bool last_upstream_refused = false;  ///< It would not run the request.
    std::size_t refusals = 0;
    monotonic_time retry_refused_at;  ///< After a refusal, those asked before.
    std::string part;
    std::string stamp;
  };

  std::size_t RequiredAnswers() const;
  bool TrySend(std::size_t index, monotonic_time now);
  upstream_pointer NextUpstream(const leg& leg,
                                std::chrono::microseconds hedge_delay,
                                monotonic_time now);
  std::size_t MaxAttempts(const leg& leg) const;
  void TryHedge(std::size_t index, monotonic_time now);
  void SendOrGiveUp(std::size_t index, monotonic_time now);
  void FinishIfSettled(monotonic_time now);
  bool MayWaitForCapacity(const leg& leg, monotonic_time now) const;
  bool MayHaveRun() const;
  void FinishMergedOrFailed(monotonic_time now);
  void FinishFailed(monotonic_time now);
  void Finish(entry_answer answer);
  void AbandonAll();
  void AdvanceLeg(std::size_t index, monotonic_time now);
  void CloseLeg(leg& leg, leg_state state);
  void ScheduleNextTimer(monotonic_time now);
  /// When the leg has something to do by itself, if ever.
  std::optional<monotonic_time> NextTimerOf(const leg& leg,
                                            monotonic_time now) const;
  std::chrono::milliseconds RetryAfter(monotonic_time now) const;
  std::size_t LegIndexOf(std::uint64_t number) const;

  context context_;
  upstream_directory& directory_;
  attempt_policy& policy_;
  run_port& port_;
  const fanout_target* fanout_ = nullptr;
  std::vector<leg> legs_;
  std::size_t answered_legs_ = 0;
  std::size_t open_legs_ = 0;  ///< Legs that are.
  std::uint64_t last_attempt_number_ = 0;
  std::vector<std::size_t> leg_by_attempt_;  ///< By number of attempt, from 1.
  monotonic_time deadline_;                  ///< The final answer is due.
  monotonic_time settle_at_;  ///< A fan-out stops waiting for the last shards.
  monotonic_time next_timer_;
  std::optional<sound_reply> failed_reply_;  ///< An upstream's own failure.
  std::size_t hedges_ = 0;
  std::size_t retries_ = 0;
  std::size_t denied_repeats_ = 0;
  std::size_t repeats_without_upstream_ = 0;
  bool is_done_ = false;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_COORDINATION_REQUEST_RUN_H_
