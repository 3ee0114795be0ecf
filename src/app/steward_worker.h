#ifndef PAPAYAGLADE_APP_STEWARD_WORKER_H_
#define PAPAYAGLADE_APP_STEWARD_WORKER_H_

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "app/dispatch_adapter.h"
#include "app/result_outbox.h"
#include "app/steward_report.h"
#include "app/worker_thread.h"
#include "coordination/metrics_sink.h"
#include "coordination/ports.h"
#include "coordination/steward_standing.h"
#include "coordination/timer_service.h"
#include "coordination/upstream_dispatcher.h"
#include "state/events.h"
#include "state/instance_settings.h"

namespace papayaglade {

/// Owns a dispatcher for each upstream of the own data centre. Passes each
/// event to the dispatcher of its upstream and sends the results of one wake-up
/// together.
class steward_worker {
 public:
  steward_worker(const instance_settings& settings,
                 const instance_identity& self, timer_service& timer,
                 peer_port& peers, upstream_port& upstreams,
                 router_ring& router, metrics_sink& metrics,
                 steward_ring& inbox);
  ~steward_worker();

  void Start();
  void Stop();

  /// Waits for an event, then handles the events in the ring, up to a limit.
  /// Returns false once the ring is closed.
  bool RunOnce();

 private:
  /// A handover that waits for the last requests to the released upstreams, at
  /// most until `until`.
  struct pending_handover {
    std::vector<upstream_dispatcher*> upstreams;
    std::function<void(std::vector<handover>)> reply;
    monotonic_time until;
  };

  struct served_upstream {
    served_upstream(const upstream_definition& definition, std::uint64_t number,
                    steward_worker& worker);
    dispatch_adapter adapter;
    upstream_dispatcher dispatcher;
  };

  void Dispatch(steward_event& event);
  void Handle(tick& event);
  void Handle(view_update& event);
  void Handle(standing_update& event);
  void Handle(batch_event& event);
  void Handle(cancel_event& event);
  void Handle(connection_opened& event);
  void Handle(connection_failed& event);
  void Handle(exchange_reply& event);
  void Handle(handover_event& event);
  void Handle(handover_request& event);
  void Handle(peer_link_event& event);
  void Handle(status_query& event);
  void Handle(drain_event& event);

  /// Creates the dispatcher of an upstream, or updates its definition.
  /// `max_request_deadline` is the longest deadline of the service's workloads.
  void AddOrUpdateUpstream(const upstream_definition& definition,
                           std::chrono::milliseconds max_request_deadline);
  upstream_dispatcher* FindByName(const std::string& upstream);
  upstream_dispatcher* FindById(std::uint64_t id);
  upstream_report Report(const upstream_dispatcher& dispatcher) const;
  void ReportMetrics(monotonic_time now);
  /// Calls the drain callbacks once all dispatchers are idle and all results
  /// are sent.
  void FinishDrains();
  /// Replies to the handovers whose requests have ended or whose time is up.
  void FinishHandovers();

  instance_settings settings_;
  instance_identity self_;
  timer_service& timer_;
  upstream_port& upstreams_;
  metrics_sink& metrics_;
  steward_ring& inbox_;
  result_outbox results_;
  worker_thread thread_;
  timer_service::subscription subscription_ = 0;
  steward_standing standing_;
  // Indexed by upstream number.
  std::vector<std::unique_ptr<served_upstream>> served_;
  std::unordered_map<std::string, std::size_t> index_by_name_;
  std::vector<std::function<void()>> drain_callbacks_;
  std::vector<pending_handover> pending_handovers_;
  monotonic_time next_metrics_time_{};
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_APP_STEWARD_WORKER_H_
