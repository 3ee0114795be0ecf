#ifndef PAPAYAGLADE_APP_ENTRY_SERVICE_H_
#define PAPAYAGLADE_APP_ENTRY_SERVICE_H_

#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "app/decision_log.h"
#include "app/metrics_registry.h"
#include "coordination/request_run.h"
#include "coordination/route_table.h"
#include "transport/caller_port.h"
#include "transport/upstream_exchanges.h"

namespace papayaglade {

/// Answers callers: finds the route, runs the request, and tells the log.
class entry_service : public caller_port::service {
 public:
  entry_service(loop_context& loop, const entry_wire_format& wire,
                upstream_directory& directory, attempt_policy& policy,
                upstream_exchanges& exchanges, decision_log& log,
                metrics_registry& metrics);
  ~entry_service() override;

  void SetConfiguration(
      std::shared_ptr<const tier_configuration> configuration);
  /// From now on every answer asks its caller to use another instance.
  void CloseAfterAnswers() { closing_ = true; }
  /// Whether most of what callers asked for lately cannot be served, since its
  /// upstreams cannot be reached.
  bool CannotServeMost(monotonic_time now) const;
  /// `age` tells how old what is known of the store is.
  void SetStateAge(std::function<std::chrono::milliseconds()> age) {
    state_age_ = std::move(age);
  }
  /// Callers that are refused are sent to another instance.
  void SetDiverting(bool diverting) { diverting_ = diverting; }
  bool Configured() const { return routes_.has_value(); }
  std::size_t Active() const { return active_.size(); }

  caller_limits Limits() const override;
  void OnRequest(const std::shared_ptr<caller_connection>& from,
                 caller_message message) override;
  void OnMalformed(const std::shared_ptr<caller_connection>& from,
                   bool too_large) override;

 private:
  class active_request;

  void Refuse(const std::shared_ptr<caller_connection>& to,
              const std::string& id, refused_answer answer, bool keep_alive);
  void Remove(active_request* finished);
  /// Milliseconds; -1 when it is not known.
  std::int64_t StateAge() const;
  void CountAsked(const std::string& route, monotonic_time now);
  bool CanServe(const route& route, monotonic_time now) const;

  loop_context& loop_;
  const entry_wire_format& wire_;
  upstream_directory& directory_;
  attempt_policy& policy_;
  upstream_exchanges& exchanges_;
  decision_log& log_;
  metrics_registry& metrics_;
  std::optional<route_table> routes_;
  std::set<std::shared_ptr<active_request>> active_;
  /// Requests by the name of their route, lately.
  std::map<std::string, double> asked_;
  monotonic_time asked_halved_;
  std::function<std::chrono::milliseconds()> state_age_;
  bool closing_ = false;
  bool diverting_ = false;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_APP_ENTRY_SERVICE_H_
