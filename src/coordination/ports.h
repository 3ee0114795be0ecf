#ifndef PAPAYAGLADE_COORDINATION_PORTS_H_
#define PAPAYAGLADE_COORDINATION_PORTS_H_

#include <string>

#include "state/events.h"
#include "state/peer_message.h"

namespace papayaglade {

/// Sends messages to peers by instance name; implemented by the peers worker.
class peer_port {
 public:
  virtual ~peer_port() = default;
  /// Returns false if the message was not queued, because the ring of the link
  /// is full or the peer is unknown. Dials the peer if there is no link yet.
  virtual bool Send(const std::string& peer, peer_message message) = 0;
  /// Sets the address where a peer accepts links; it replaces older addresses.
  virtual void SetAddress(const instance_identity& peer,
                          const endpoint& address) = 0;
  /// Opens a new connection. The control worker gets the outcome as a
  /// peer_link_event (kUp, kRefused or kSilent).
  virtual void Dial(const std::string& peer) = 0;
  virtual void Forget(const std::string& peer) = 0;
};

/// Sends calls to the platform. Replies arrive in the ring of the worker that
/// made the call.
class platform_port {
 public:
  virtual ~platform_port() = default;
  /// Returns false if the call was not queued; no reply follows then.
  virtual bool CallFromControl(platform_call call) = 0;
  virtual bool CallFromRouter(platform_call call) = 0;
};

/// Sends commands to the upstreams worker.
class upstream_port {
 public:
  virtual ~upstream_port() = default;
  /// Returns false if the ring is full; the command is not executed then.
  virtual bool Send(upstream_command command) = 0;
};

/// Tells the load balancer, through GET /ready, whether to send requests to
/// this instance.
class readiness_port {
 public:
  virtual ~readiness_port() = default;
  /// `reason` explains to the balancer's operator why the instance is not
  /// ready.
  virtual void SetReady(bool ready, const std::string& reason) = 0;
  /// Tells that a configuration is in force, so that callers can be served.
  virtual void SetConfigured() = 0;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_COORDINATION_PORTS_H_
