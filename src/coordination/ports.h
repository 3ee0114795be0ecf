#ifndef PAPAYAGLADE_COORDINATION_PORTS_H_
#define PAPAYAGLADE_COORDINATION_PORTS_H_

#include <string>

#include "state/events.h"
#include "state/peer_message.h"

namespace papayaglade {

/// Sends messages to peers by instance name; implemented by the peers duty.
class peer_port {
 public:
  virtual ~peer_port() = default;
  /// Returns false when the message was not queued: link ring full or the
  /// peer unknown. Dials the peer if there is no link yet.
  virtual bool Send(const std::string& peer, peer_message message) = 0;
  /// Tells where a peer accepts links; forgets older addresses.
  virtual void SetAddress(const instance_identity& peer,
                          const endpoint& address) = 0;
  /// Dials afresh; the outcome comes as a peer_link_event (kUp or kRefused
  /// or kSilent) to the control duty.
  virtual void Dial(const std::string& peer) = 0;
  virtual void Forget(const std::string& peer) = 0;
};

/// Carries calls to the platform; the reply comes back into the given ring.
class platform_port {
 public:
  virtual ~platform_port() = default;
  /// False when the call was not queued; then no reply follows.
  virtual bool CallFromControl(platform_call call) = 0;
  virtual bool CallFromRouter(platform_call call) = 0;
};

/// Carries commands to the upstreams duty.
class upstream_port {
 public:
  virtual ~upstream_port() = default;
  /// False when the ring is full; the command is then not carried out.
  virtual bool Send(upstream_command command) = 0;
};

/// Tells the balancer, through GET /ready, whether to send work here.
class readiness_port {
 public:
  virtual ~readiness_port() = default;
  /// `reason` says why not, for the balancer's operator.
  virtual void SetReady(bool ready, const std::string& reason) = 0;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_COORDINATION_PORTS_H_
