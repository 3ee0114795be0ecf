#ifndef PAPAYAGLADE_APP_OPERATORS_PORT_H_
#define PAPAYAGLADE_APP_OPERATORS_PORT_H_

#include <atomic>
#include <string>

#include "app/metrics_registry.h"
#include "app/readiness.h"
#include "state/events.h"
#include "state/instance_settings.h"
#include "transport/http_server.h"
#include "transport/peer_links.h"

namespace papayaglade {

/// Serves operators over HTTP: status, configuration version, metrics, request
/// accounts and orders.
class operators_port {
 public:
  operators_port(const instance_settings& settings,
                 const instance_identity& self, router_ring& router,
                 steward_ring& stewards, control_ring& control,
                 const peer_links& peers, const readiness& ready,
                 const metrics_registry& metrics);

  /// Binds the port and starts serving. Returns an empty string, or why the
  /// port cannot be bound.
  std::string Start();
  void Stop();

 private:
  using responder = http_server::responder;

  void Handle(const http_request& request, const responder& respond);
  void AnswerStatus(const responder& respond);
  void AnswerConfiguration(const responder& respond);
  void AnswerExplain(const std::string& request_id, const responder& respond);
  void AnswerOrder(const std::string& body, const responder& respond);
  std::string FormatMetrics() const;

  const instance_settings settings_;
  const instance_identity self_;
  router_ring& router_;
  steward_ring& stewards_;
  control_ring& control_;
  const peer_links& peers_;
  const readiness& ready_;
  const metrics_registry& metrics_;
  http_server server_;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_APP_OPERATORS_PORT_H_
