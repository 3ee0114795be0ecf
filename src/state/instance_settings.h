#ifndef PAPAYAGLADE_STATE_INSTANCE_SETTINGS_H_
#define PAPAYAGLADE_STATE_INSTANCE_SETTINGS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "state/identity.h"

namespace papayaglade {

/// Times that membership, leases and shutdown are built from.
struct coordination_settings {
  std::chrono::milliseconds probe_interval{500};
  std::chrono::milliseconds probe_timeout{150};
  std::chrono::milliseconds suspicion_timeout{1500};
  std::chrono::milliseconds lease_duration{1000};
  std::chrono::milliseconds max_request_duration{1300};
  std::chrono::milliseconds shutdown_timeout{30000};
  /// How long the balancer may take to see that an instance is not ready.
  std::chrono::milliseconds balancer_delay{1000};
};

/// Bounds on what callers, operators and peers may send.
struct port_limits {
  std::size_t body_bytes = 256 * 1024;
  std::size_t header_bytes = 8 * 1024;
  std::size_t connections = 1024;
  std::size_t requests_in_flight = 4096;
  std::chrono::milliseconds header_timeout{5000};
  std::chrono::milliseconds idle_timeout{60000};
};

/// A peer to ask when the platform cannot name any.
struct seed_peer {
  std::string name;
  endpoint peers;
};

/// The settings file of one instance, checked as a whole before it starts.
struct instance_settings {
  std::string name;
  std::string data_centre;
  endpoint callers;       ///< HTTP for callers.
  endpoint operators;     ///< HTTP for metrics, status and orders.
  endpoint peers;         ///< Where other instances dial peer links.
  endpoint peers_listen;  ///< Where they arrive, behind a port mapping.
  endpoint platform;      ///< The Object API.
  std::vector<seed_peer> seeds;
  std::string peer_key;  ///< Shared by all instances; never logged.
  std::chrono::milliseconds platform_timeout{1000};
  double platform_calls_per_second = 5.0;
  coordination_settings coordination;
  port_limits limits;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_STATE_INSTANCE_SETTINGS_H_
