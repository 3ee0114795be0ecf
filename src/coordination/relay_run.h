#ifndef PAPAYAGLADE_COORDINATION_RELAY_RUN_H_
#define PAPAYAGLADE_COORDINATION_RELAY_RUN_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "coordination/upstream_directory.h"
#include "state/relay_message.h"
#include "state/time.h"

namespace papayaglade {

/// Carries out the actions of a relay_run.
class relay_run_port {
 public:
  virtual ~relay_run_port() = default;
  /// Sends the attempt; its result goes to relay_run::OnResult.
  virtual void Send(std::uint64_t number, const upstream_pointer& upstream,
                    std::chrono::milliseconds time_left) = 0;
  /// Tells that the run no longer needs the result of the attempt.
  virtual void Abandon(std::uint64_t number) = 0;
  virtual void Reply(relay_reply reply) = 0;
};

/// Runs the legs of a fan-out that another instance has handed over: asks one
/// upstream of the own data centre for each, and returns the answers together.
/// Retries and hedges are left to the other instance. The class does no I/O.
class relay_run {
 public:
  /// `directory` and `port` must outlive the run.
  relay_run(relay_request request, upstream_directory& directory,
            relay_run_port& port);

  void Start(monotonic_time now);
  void OnResult(std::uint64_t number, attempt_result result,
                monotonic_time now);
  /// Abandons the legs with these numbers, without a reply.
  void Cancel(const std::vector<std::uint64_t>& numbers);
  /// Abandons all legs, without a reply.
  void CancelAll();
  /// Sends what is due. Call it at NextTimer or later.
  void OnTimer(monotonic_time now);

  monotonic_time NextTimer() const;
  /// Returns whether no leg awaits a result or a reply.
  bool IsDone() const { return open_.empty() && parts_.empty(); }

 private:
  /// A leg that awaits its result.
  struct open_leg {
    std::uint64_t number = 0;
    monotonic_time sent_at;
    upstream_pointer upstream;
  };

  /// Replies with all answers since the last reply.
  void Flush();
  void Reply(relay_reply reply);

  relay_request request_;
  upstream_directory& directory_;
  relay_run_port& port_;
  std::vector<open_leg> open_;
  /// Answers that no reply has named, and their bodies.
  std::vector<relay_part> parts_;
  std::vector<std::string> bodies_;
  /// What upstreams have said since the last reply.
  std::vector<relay_notice> notices_;
  monotonic_time flush_at_;
  monotonic_time deadline_;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_COORDINATION_RELAY_RUN_H_
