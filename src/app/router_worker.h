#ifndef PAPAYAGLADE_APP_ROUTER_WORKER_H_
#define PAPAYAGLADE_APP_ROUTER_WORKER_H_

#include <atomic>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "app/claim_client.h"
#include "app/request_log.h"
#include "app/worker_thread.h"
#include "coordination/metrics_sink.h"
#include "coordination/ports.h"
#include "coordination/query_engine.h"
#include "coordination/timer_service.h"
#include "state/events.h"
#include "state/instance_settings.h"

namespace papayaglade {

/// Passes events to the query engine and performs the actions that the engine
/// decides on.
class router_worker {
 public:
  router_worker(const instance_settings& settings,
                const instance_identity& self, timer_service& timer,
                peer_port& peers, platform_port& platform,
                steward_ring& stewards, metrics_sink& metrics,
                router_ring& inbox);
  ~router_worker();

  void Start();
  /// Ends the thread. Logs each request that is owed an answer.
  void Stop();

 private:
  void Run();
  /// Waits for the next event or due time and handles it. Returns false once
  /// the worker is stopping and the ring is empty.
  bool HandleNext();
  void Handle(tick& event);
  void Handle(view_update& event);
  void Handle(caller_event& event);
  void Handle(results_event& event);
  void Handle(peer_link_event& event);
  void Handle(platform_event& event);
  void Handle(status_query& event);
  void Handle(explain_query& event);
  void Handle(stop_event& event);
  void Handle(drain_event& event);

  void PerformActions();
  void Perform(std::uint64_t query, send_batch& action);
  void Perform(std::uint64_t query, cancel_attempts& action);
  void Perform(std::uint64_t query, settle_request& action);
  void Perform(std::uint64_t query, write_claim& action);
  void Perform(std::uint64_t query, read_claim& action);
  /// Sends a batch to a steward: the local one or a peer. Returns false if it
  /// was not queued.
  bool Deliver(const std::string& steward, send_batch& action);
  /// Calls the drain callbacks once no query is open.
  void ReportDrained();
  void ReportUnanswered();

  const instance_identity self_;
  timer_service& timer_;
  peer_port& peers_;
  steward_ring& stewards_;
  router_ring& inbox_;
  query_engine engine_;
  claim_client claims_;
  metrics_sink& metrics_;
  request_log log_;
  worker_thread thread_;
  std::atomic<bool> stopping_{false};
  timer_service::subscription subscription_ = 0;
  std::unordered_map<std::uint64_t, caller_event> callers_;
  std::vector<std::function<void()>> drain_callbacks_;
  std::optional<monotonic_time> stop_began_;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_APP_ROUTER_WORKER_H_
