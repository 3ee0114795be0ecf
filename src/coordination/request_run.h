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
  bool repeat = false;
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
struct run_account {
  std::size_t legs = 0;
  std::size_t answered = 0;
  std::size_t attempts = 0;
  std::size_t hedges = 0;
  std::size_t retries = 0;
  std::size_t denied = 0;  ///< Repeats for which the budget had no room.
  std::size_t alone =
      0;  ///< Repeats for which no other upstream could be asked.
  std::size_t unsent = 0;  ///< Legs for which no upstream could be asked.
};

/// Decides for one request which upstreams are asked, when another one is
/// asked too, and when what has come is enough. A route to one service has one
/// leg, a fan-out a leg for each shard.
class request_run {
 public:
  struct context {
    std::shared_ptr<const tier_configuration> configuration;
    const route* target = nullptr;  ///< Lives in `configuration`.
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
  /// To be called at NextWake or later.
  void OnWake(monotonic_time now);
  /// The caller has left: gives up all attempts, without Finish.
  void Cancel();

  monotonic_time NextWake() const { return next_wake_; }
  bool Done() const { return done_; }
  const route& Route() const { return *context_.target; }
  run_account Account() const;

 private:
  enum class leg_state { kOpen, kAnswered, kGivenUp };
  struct leg {
    std::string service;
    leg_state state = leg_state::kOpen;
    std::vector<std::string> asked;        ///< Ids of upstreams.
    std::vector<std::uint64_t> in_flight;  ///< Numbers of attempts.
    std::size_t sent = 0;                  ///< Attempts that reached one.
    std::size_t unreachable = 0;           ///< Attempts that reached none.
    std::size_t possible_runs = 0;         ///< Attempts that may have run.
    monotonic_time hedge_at;
    monotonic_time latest_hedge;  ///< When repeats are scarce.
    bool hedged = false;
    upstream_pointer last;      ///< The upstream asked last.
    bool last_refused = false;  ///< It would not run the request.
    std::size_t refusals = 0;
    monotonic_time ask_again;  ///< After a refusal, those asked before.
    std::string part;
    std::string signature;
  };

  std::size_t Needed() const;
  bool TrySend(std::size_t index, monotonic_time now);
  upstream_pointer NextUpstream(const leg& leg,
                                std::chrono::microseconds hedge_delay,
                                monotonic_time now);
  std::size_t MostAttempts(const leg& leg) const;
  void Hedge(std::size_t index, monotonic_time now);
  void SendOrGiveUp(std::size_t index, monotonic_time now);
  void Settle(monotonic_time now);
  bool WaitsForRoom(const leg& leg, monotonic_time now) const;
  bool MayHaveRun() const;
  void FinishEnough(monotonic_time now);
  void FinishFailed(monotonic_time now);
  void Finish(entry_answer answer);
  void AbandonAll();
  void StepLeg(std::size_t index, monotonic_time now);
  void Close(leg& leg, leg_state state);
  void PlanWake(monotonic_time now);
  /// When the leg has something to do by itself, if ever.
  std::optional<monotonic_time> WakeOf(const leg& leg,
                                       monotonic_time now) const;
  std::chrono::milliseconds RetryAfter(monotonic_time now) const;
  std::size_t LegOf(std::uint64_t number) const;

  context context_;
  upstream_directory& directory_;
  attempt_policy& policy_;
  run_port& port_;
  const fanout_target* fanout_ = nullptr;
  std::vector<leg> legs_;
  std::size_t answered_ = 0;
  std::size_t open_ = 0;  ///< Legs that are.
  std::uint64_t last_number_ = 0;
  std::vector<std::size_t> leg_of_;  ///< By number of attempt, from 1.
  monotonic_time end_;               ///< The final answer is due.
  monotonic_time settle_;  ///< A fan-out stops waiting for the last shards.
  monotonic_time next_wake_;
  std::optional<upstream_response> failure_;  ///< An upstream's own failure.
  std::size_t hedges_ = 0;
  std::size_t retries_ = 0;
  std::size_t denied_ = 0;
  std::size_t alone_ = 0;
  bool done_ = false;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_COORDINATION_REQUEST_RUN_H_
