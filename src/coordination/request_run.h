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
#include "state/relay_message.h"
#include "state/route.h"
#include "state/time.h"

namespace papayaglade {

/// One attempt to run a request, or one shard's part of it, at an upstream.
struct attempt {
  /// Number of the attempt within its run, from 1.
  std::uint64_t number = 0;
  /// Index of the shard in a fan-out route; 0 for a route to one service.
  std::size_t leg = 0;
  upstream_pointer upstream;
  /// Time until the run must end; the upstream gets it as its limit.
  std::chrono::milliseconds time_left{0};
  /// True for a retry or a hedge, false for the first attempt of a leg.
  bool is_repeat = false;
};

/// Carries out the actions of a request_run.
class run_port {
 public:
  virtual ~run_port() = default;
  /// Sends the attempt; its result goes to request_run::OnResult.
  virtual void Send(const attempt& attempt) = 0;
  /// Tells that the run no longer needs the result of the attempt.
  virtual void Abandon(std::uint64_t number) = 0;
  /// Delivers the answer for the caller. A run calls nothing after this.
  virtual void Finish(entry_answer answer) = 0;
};

/// Counts of one run, for its log line.
struct run_statistics {
  std::size_t legs = 0;
  /// Legs that were answered.
  std::size_t answered = 0;
  std::size_t attempts = 0;
  std::size_t hedges = 0;
  std::size_t retries = 0;
  /// Repeats that the repeat budget did not allow.
  std::size_t denied_repeats = 0;
  /// Repeats that had no upstream to go to.
  std::size_t repeats_without_upstream = 0;
  /// Unanswered legs whose request reached no upstream.
  std::size_t unsent_legs = 0;
};

/// Runs one request: chooses the upstreams, sends retries and hedges, and
/// decides when the answers received so far are enough. A route to one service
/// has one leg; a fan-out has one leg for each shard. The class does no I/O.
class request_run {
 public:
  struct context {
    std::shared_ptr<const tier_configuration> configuration;
    /// Points into `configuration`.
    const route* matched_route = nullptr;
    monotonic_time arrival;
    /// Time that the caller allows; empty when the caller set no limit.
    std::optional<std::chrono::milliseconds> time_left;
  };

  /// `directory`, `policy` and `port` must outlive the run.
  request_run(context context, upstream_directory& directory,
              attempt_policy& policy, run_port& port);

  /// Sends the first attempt of each leg, or refuses the request at once.
  void Start(monotonic_time now);
  /// Handles the end of an attempt. Results of abandoned attempts are ignored.
  void OnResult(std::uint64_t number, attempt_result result,
                monotonic_time now);
  /// Handles the answers of several legs, whose records another instance has
  /// merged into `records`. They replace what other attempts of these legs have
  /// answered, as their records cannot be taken out again.
  void OnMergedParts(const std::vector<relay_part>& parts, std::string records,
                     monotonic_time now);
  /// Sends due retries and hedges and finishes when time is up. Call it at
  /// NextTimer or later.
  void OnTimer(monotonic_time now);
  /// Moves the deadline to `time` if it is later, because the instance stops
  /// then. NextTimer may change.
  void FinishBy(monotonic_time time);
  /// Abandons all attempts without calling Finish, because the caller has left.
  void Cancel();

  /// Returns the time at which OnTimer is due.
  monotonic_time NextTimer() const { return next_timer_; }
  /// Returns the time by which the run finishes.
  monotonic_time Deadline() const { return deadline_; }
  bool IsDone() const { return is_done_; }
  /// Returns the number of attempts that were sent.
  std::size_t AttemptCount() const { return last_attempt_number_; }
  const route& Route() const { return *context_.matched_route; }
  run_statistics Statistics() const;

  /// A leg that has no answer yet.
  struct open_leg {
    std::string service;
    /// Id of the upstream asked last; empty if no attempt awaits a result.
    std::string upstream;
    /// Numbers of the attempts that await a result.
    std::vector<std::uint64_t> attempts;
  };
  /// Returns what the run waits for, for the log.
  std::vector<open_leg> OpenLegs() const;

 private:
  enum class leg_state { kOpen, kAnswered, kGivenUp };
  struct leg {
    std::string service;
    leg_state state = leg_state::kOpen;
    /// Ids of the upstreams asked so far; cleared when no other one is left.
    std::vector<std::string> tried_upstreams;
    /// Numbers of the attempts that await a result.
    std::vector<std::uint64_t> in_flight;
    /// Attempts that were sent; those known not to be sent are taken off.
    std::size_t attempts_sent = 0;
    /// Attempts that could not be sent.
    std::size_t unreachable_attempts = 0;
    /// Attempts that an upstream may have run.
    std::size_t possible_executions = 0;
    /// Time from which a hedge may be sent.
    monotonic_time hedge_at;
    /// Time of the hedge when the repeat budget is low.
    monotonic_time latest_hedge_at;
    bool hedged = false;
    /// Upstream of the latest attempt.
    upstream_pointer last_upstream;
    /// True if that upstream refused to run the request.
    bool last_upstream_refused = false;
    std::size_t refusals = 0;
    /// After a refusal: time from which an upstream may be asked again.
    monotonic_time retry_refused_at;
    /// The answer of the shard, once there is one. One of several merged parts
    /// has the records of all, the others have none.
    std::string part;
    bool is_merged = false;  ///< The answer came with OnMergedParts.
    /// The upstream's signature of its answer.
    std::string signature;
  };

  /// Returns how many legs must be answered to cover the route's minimum.
  std::size_t RequiredAnswers() const;
  /// Sends another attempt; returns false if there is no time, no upstream or
  /// no repeat budget for it.
  bool TrySend(std::size_t index, monotonic_time now);
  /// Returns the upstream for the next attempt of the leg, or null.
  upstream_pointer NextUpstream(const leg& leg,
                                std::chrono::microseconds hedge_delay,
                                monotonic_time now);
  std::size_t MaxAttempts(const leg& leg) const;
  void TryHedge(std::size_t index, monotonic_time now);
  void SendOrGiveUp(std::size_t index, monotonic_time now);
  /// Finishes the run if time is up, no leg is open, the answers suffice, or
  /// the minimum can no longer be reached.
  void FinishIfSettled(monotonic_time now);
  /// Returns whether the leg may wait until an upstream can take it.
  bool MayWaitForCapacity(const leg& leg, monotonic_time now) const;
  /// Returns whether an upstream may have run any attempt of the request.
  bool MayHaveRun() const;
  /// Finishes with the merged parts if they suffice, else with a failure.
  void FinishMergedOrFailed(monotonic_time now);
  void FinishFailed(monotonic_time now);
  void Finish(entry_answer answer);
  void AbandonAll();
  void AdvanceLeg(std::size_t index, monotonic_time now);
  void CloseLeg(leg& leg, leg_state state);
  /// Closes the leg as answered and abandons its attempts.
  void OnLegAnswered(leg& leg);
  /// Returns whether the parts are of different legs, none of them merged yet.
  bool CanTakeMerged(const std::vector<relay_part>& parts) const;
  void ScheduleNextTimer(monotonic_time now);
  /// Returns when the leg next needs OnTimer; empty if it only awaits results.
  std::optional<monotonic_time> NextTimerOf(const leg& leg,
                                            monotonic_time now) const;
  std::chrono::milliseconds RetryAfter(monotonic_time now) const;
  /// Returns the leg that awaits the attempt, or the number of legs.
  std::size_t LegIndexOf(std::uint64_t number) const;

  context context_;
  upstream_directory& directory_;
  attempt_policy& policy_;
  run_port& port_;
  const fanout_target* fanout_ = nullptr;
  std::vector<leg> legs_;
  std::size_t answered_legs_ = 0;
  /// Legs in state kOpen.
  std::size_t open_legs_ = 0;
  std::uint64_t last_attempt_number_ = 0;
  /// Leg of each attempt; attempt 1 comes first.
  std::vector<std::size_t> leg_by_attempt_;
  /// Time by which the run must finish.
  monotonic_time deadline_;
  /// Time from which a fan-out finishes once its minimum is covered.
  monotonic_time settle_at_;
  monotonic_time next_timer_;
  /// The latest failure that an upstream answered with, unless it is large and
  /// others have been asked since.
  std::optional<upstream_response> failed_reply_;
  std::size_t hedges_ = 0;
  std::size_t retries_ = 0;
  std::size_t denied_repeats_ = 0;
  std::size_t repeats_without_upstream_ = 0;
  /// True if the deadline is the end of the instance.
  bool is_cut_by_stop_ = false;
  bool is_done_ = false;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_COORDINATION_REQUEST_RUN_H_
