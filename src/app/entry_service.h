#ifndef PAPAYAGLADE_APP_ENTRY_SERVICE_H_
#define PAPAYAGLADE_APP_ENTRY_SERVICE_H_

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "app/metrics_registry.h"
#include "app/owed_answer.h"
#include "app/structured_log.h"
#include "coordination/request_run.h"
#include "coordination/route_demand.h"
#include "coordination/route_durations.h"
#include "coordination/route_table.h"
#include "coordination/shutdown_plan.h"
#include "state/copy_status.h"
#include "transport/caller_port.h"
#include "transport/upstream_client.h"

namespace papayaglade {

class relay_client;

/// Serves callers' requests: finds the route of each request, runs it against
/// the upstreams, and records the outcome in the log and the metrics.
class entry_service : public caller_port::service {
 public:
  entry_service(loop_context& loop, const entry_wire_format& wire,
                upstream_directory& directory, attempt_policy& policy,
                upstream_client& client, structured_log& log,
                metrics_registry& metrics);
  ~entry_service() override;

  void SetConfiguration(
      std::shared_ptr<const tier_configuration> configuration);
  /// From now on closes each connection after the answers to what has been
  /// received there, so that callers reconnect to another instance, refuses
  /// requests that may take longer than `plan` leaves them, and answers all
  /// others in time.
  void BeginStop(const shutdown_plan& plan);
  /// Answers each request in progress with what is known by now.
  void FinishAll();
  /// Returns whether the routes of more than half of the recent requests cannot
  /// be served because their upstreams are unreachable.
  bool MostRequestsUnservable(monotonic_time now) const;
  /// Sets the client that hands legs of fan-outs over to other instances;
  /// without it, this instance asks all upstreams itself. It must outlive the
  /// service.
  void SetRelays(relay_client* relays) { relays_ = relays; }
  /// Sets the function that returns what is known of the state that requests go
  /// by.
  void SetStateStatus(std::function<state_status()> status) {
    state_status_ = std::move(status);
  }
  /// Closes the connection after each refused answer while diverting, so that
  /// the caller retries at another instance.
  void SetDiverting(bool diverting) { diverting_ = diverting; }
  bool IsConfigured() const { return routes_.has_value(); }
  std::size_t ActiveCount() const { return active_.size(); }
  /// Returns how many requests ended without a complete answer.
  std::size_t UnansweredCount() const { return unanswered_; }
  /// Returns how many of these had an answer that was not written whole.
  std::size_t UnwrittenCount() const { return unwritten_; }

  caller_limits Limits() const override;
  void OnRequest(const std::shared_ptr<caller_connection>& from,
                 caller_message message) override;
  void OnMalformed(const std::shared_ptr<caller_connection>& from,
                   bool too_large) override;
  void OnNoMemory(const std::shared_ptr<caller_connection>& from,
                  const caller_message& message) override;

 private:
  class active_request;

  /// What is known of a request that is refused.
  struct refused_request {
    std::string id;     ///< Empty if the request could not be decoded.
    std::string route;  ///< Empty if it has none.
    bool keep_alive = false;
    bool head = false;  ///< True for a HEAD request, whose answer has no body.
  };

  /// Answers with a refusal and records it.
  void Refuse(const std::shared_ptr<caller_connection>& to,
              const refused_request& request, refused_answer answer);
  /// Returns whether `request` is sure enough to be answered before the stop.
  bool MayTakeWhileStopping(const active_request& request) const;
  /// Learns from a request that has ended how long such a request takes.
  void RecordDuration(const active_request& ended);
  void Remove(active_request* finished);
  /// Logs the bytes behind the request `id` that are dropped if the connection
  /// closes after its answer.
  void WatchDropped(caller_connection& connection, bool close,
                    const std::string& id, const std::string& route);
  /// Sends an answer, and watches it until it is written.
  void Deliver(const std::shared_ptr<caller_connection>& to, std::string answer,
               bool close, const std::string& id, const std::string& route,
               monotonic_time arrival);
  /// Logs and counts a request whose connection ended before its answer.
  void RecordUnanswered(const owed_answer& owed, connection_end end);
  /// Returns the facts that do not depend on the progress of a request.
  owed_answer Owed(const std::string& id, const std::string& route,
                   monotonic_time arrival) const;
  /// Adds the version that a request goes by, and the state behind it.
  void AddState(log_line& line, std::int64_t version) const;

  loop_context& loop_;
  const entry_wire_format& wire_;
  upstream_directory& directory_;
  attempt_policy& policy_;
  upstream_client& upstream_client_;
  relay_client* relays_ = nullptr;
  structured_log& log_;
  metrics_registry& metrics_;
  std::optional<route_table> routes_;
  std::set<std::shared_ptr<active_request>> active_;
  route_demand demand_;
  std::function<state_status()> state_status_;
  std::optional<shutdown_plan> stop_;  ///< Empty until the stop begins.
  route_durations durations_;
  std::size_t unanswered_ = 0;
  std::size_t unwritten_ = 0;
  bool diverting_ = false;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_APP_ENTRY_SERVICE_H_
