#ifndef PAPAYAGLADE_STATE_INSTANCE_SETTINGS_H_
#define PAPAYAGLADE_STATE_INSTANCE_SETTINGS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "state/identity.h"

namespace papayaglade {

/// Intervals and timeouts of membership, leases and shutdown.
struct coordination_settings {
  std::chrono::milliseconds probe_interval{500};
  std::chrono::milliseconds probe_timeout{150};
  std::chrono::milliseconds suspicion_timeout{1500};
  std::chrono::milliseconds lease_duration{1000};
  std::chrono::milliseconds max_request_duration{1300};
  std::chrono::milliseconds shutdown_timeout{30000};
  /// Time that the load balancer may need to notice that an instance is not
  /// ready.
  std::chrono::milliseconds balancer_delay{1000};
};

/// Limits on what callers, operators and peers may send.
struct port_limits {
  std::size_t body_bytes = 256 * 1024;
  std::size_t header_bytes = 8 * 1024;
  std::size_t connections = 1024;
  std::size_t requests_in_flight = 4096;
  std::chrono::milliseconds header_timeout{5000};
  std::chrono::milliseconds idle_timeout{60000};
};

/// A peer to contact when the platform cannot list any.
struct seed_peer {
  std::string name;
  endpoint peers;
};

/// The settings file of one instance. It is fully validated before the instance
/// starts.
struct instance_settings {
  std::string name;
  std::string data_centre;
  endpoint callers;    ///< HTTP for callers.
  endpoint operators;  ///< HTTP for metrics, status and orders.
  endpoint peers;      ///< Address that other instances connect to.
  /// Listening address for peer links; differs from `peers` behind a port
  /// mapping.
  endpoint peers_listen;
  endpoint platform;  ///< The Object API.
  std::vector<seed_peer> seeds;
  std::string peer_key;  ///< Shared by all instances; never logged.
  std::chrono::milliseconds platform_timeout{1000};
  double platform_calls_per_second = 5.0;
  coordination_settings coordination;
  port_limits limits;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_STATE_INSTANCE_SETTINGS_H_
