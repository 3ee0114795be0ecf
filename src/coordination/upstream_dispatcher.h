#ifndef PAPAYAGLADE_COORDINATION_UPSTREAM_DISPATCHER_H_
#define PAPAYAGLADE_COORDINATION_UPSTREAM_DISPATCHER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "coordination/admission_gate.h"
#include "coordination/cancel_list.h"
#include "coordination/class_queue.h"
#include "coordination/connection_pool.h"
#include "coordination/exchange_table.h"
#include "coordination/health_schedule.h"
#include "coordination/restart_detector.h"
#include "coordination/steward_standing.h"
#include "coordination/upstream_control.h"
#include "state/configuration.h"
#include "state/events.h"
#include "state/upstream_messages.h"

namespace papayaglade {

/// Settings of an upstream_dispatcher and its components.
struct upstream_dispatcher_settings {
  upstream_control_settings control;
  class_queue_settings queue;
  connection_pool_settings pool;
  std::chrono::milliseconds connect_timeout{500};
  std::chrono::milliseconds health_period{1000};
  std::chrono::milliseconds health_timeout{500};
  /// Maximum interval between probes of a silent upstream.
  std::chrono::milliseconds max_probe_interval{5000};
  /// Maximum time between taking a request from the queue and writing it.
  std::chrono::milliseconds max_send_delay{50};
  /// Pause of this process after which the known state is discarded.
  std::chrono::milliseconds max_process_pause{1000};
};

/// Maximum run times of requests at an upstream.
struct request_bounds {
  /// During a cold start. The fence of a takeover waits this long.
  std::chrono::milliseconds cold{1300};
  /// The maximum deadline of the service's workloads; zero if it has none.
  std::chrono::milliseconds any{0};
};

/// Performs the actions of a dispatcher. The stewards worker implements it.
class dispatch_port {
 public:
  virtual ~dispatch_port() = default;
  virtual monotonic_time Now() const = 0;
  /// Returns an id that this process has not used before.
  virtual std::uint64_t NextId() = 0;
  virtual bool Open(const open_connection& command) = 0;
  virtual void Close(std::uint64_t connection_id) = 0;
  /// Returns false if nothing was or will be sent. The request is not written
  /// after `not_after`.
  virtual bool SendWork(std::uint64_t connection_id, std::uint64_t exchange_id,
                        const queued_attempt& attempt, monotonic_time now,
                        monotonic_time not_after) = 0;
  virtual bool SendCancel(std::uint64_t connection_id,
                          std::uint64_t exchange_id,
                          const std::vector<queued_attempt>& attempts) = 0;
  virtual bool SendHealth(std::uint64_t connection_id,
                          std::uint64_t exchange_id) = 0;
  virtual void Finish(const queued_attempt& attempt, shard_result result) = 0;
};

/// Manages the work for one upstream at its steward: admits, queues, sends and
/// counts attempts, and reports their results.
class upstream_dispatcher {
 public:
  /// State of one upstream as shown to operators.
  struct summary {
    steward_phase phase = steward_phase::kUnknown;
    phase_cause cause = phase_cause::kNone;
    int limit = 0;
    int in_flight = 0;
    int unproven = 0;
    int connections = 0;
    int retired_connections = 0;
    std::size_t queued = 0;
    /// The reason why no new work is sent; kNone if work may be sent.
    shard_reason blocked = shard_reason::kNone;
  };

  /// `standing` and `port` must outlive the dispatcher.
  upstream_dispatcher(upstream_definition definition,
                      const upstream_dispatcher_settings& settings,
                      const steward_standing& standing, dispatch_port& port,
                      std::uint64_t seed);

  void Enqueue(queued_attempt attempt);
  /// Cancels the queued and running attempts with these keys. `keys` is sorted.
  void Cancel(const std::vector<attempt_key>& keys);

  void OnOpened(std::uint64_t connection_id);
  void OnFailed(const connection_failed& event);
  /// Returns the kind of the exchange, or nullopt if it is no longer in
  /// progress.
  std::optional<exchange_kind> KindOf(std::uint64_t exchange_id) const;
  void OnWorkReply(const exchange_reply& event, upstream_reply reply);
  /// `health` is empty if the reply could not be decoded.
  void OnHealthReply(const exchange_reply& event,
                     const std::optional<upstream_health>& health);
  /// Returns the attempts that a cancel exchange named, so that the caller can
  /// match its reply.
  std::vector<queued_attempt> CancelledBy(std::uint64_t exchange_id) const;
  void OnCancelReply(const exchange_reply& event,
                     const std::vector<attempt_key>& ended);
  void OnTick();

  /// Called when the standing may have changed.
  void OnStandingChanged();
  void SetDataCentreOut(bool out);
  void SetRequestBounds(const request_bounds& bounds);
  void SetDefinition(const upstream_definition& definition);

  /// Ends the stewardship of this instance. Nothing new is sent until a later
  /// roster names this instance again.
  void Release();
  /// Returns the state at the last Release, with the requests that are in
  /// flight now.
  upstream_state ReleasedState() const;
  /// Applies the state that the previous steward handed over.
  void ImportState(const upstream_state& state);

  /// Sends the queued work that may be sent now and maintains the connection
  /// pool.
  void DispatchQueued();

  /// Returns whether the queue is empty and the end of every work exchange has
  /// been reported.
  bool IsIdle() const;
  summary Summary() const;
  const upstream_definition& Definition() const { return definition_; }
  std::size_t CountQueued(request_class priority) const {
    return queue_.Size(priority);
  }

 private:
  void SendNext(const connection_pool::connection& connection,
                queued_attempt attempt, monotonic_time now);
  bool CanMeetDeadline(const queued_attempt& attempt, monotonic_time now) const;
  std::chrono::microseconds ExpectedResponseTime() const;
  void CheckProcessPause(monotonic_time now);
  void RefuseAll(shard_reason reason);
  void Refuse(const queued_attempt& attempt, shard_reason reason);
  void ReportLost(upstream_exchange& lost, shard_reason reason);
  void OnWorkConnectionLost(upstream_exchange lost,
                            const connection_failed& event);
  void OnConnectionLost(const connection_failed& event, bool opening,
                        monotonic_time now);
  void MaintainPool(monotonic_time now);
  void CloseIdleConnections();
  void CloseConnection(std::uint64_t connection_id);
  void OnExchangeFinished(const exchange_reply& event,
                          const upstream_exchange& done, monotonic_time now);
  void OnConnectionReset(bool busy, monotonic_time now);
  void CheckOverdue(monotonic_time now);
  void OnOverdueWork(upstream_exchange& late, monotonic_time now);
  void OnOverdueCheck(const upstream_exchange& late, monotonic_time now);
  void SendCancels();
  void PollHealth(monotonic_time now);

  upstream_definition definition_;
  upstream_dispatcher_settings settings_;
  const steward_standing& standing_;
  dispatch_port& port_;
  admission_gate gate_;
  upstream_control control_;
  class_queue queue_;
  connection_pool pool_;
  exchange_table exchanges_;
  cancel_list cancels_;
  request_bounds bounds_;
  upstream_state released_;
  // Connections with smaller ids lead to a former address.
  std::uint64_t first_current_id_ = 0;
  health_schedule health_;
  monotonic_time last_active_at_{};
  restart_detector restart_detector_;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_COORDINATION_UPSTREAM_DISPATCHER_H_
