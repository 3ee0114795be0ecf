#ifndef PAPAYAGLADE_TRANSPORT_PEER_LINKS_H_
#define PAPAYAGLADE_TRANSPORT_PEER_LINKS_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "coordination/ports.h"
#include "state/events.h"
#include "state/instance_settings.h"

namespace papayaglade {

/// Counters of the bytes and messages carried on peer links, by purpose.
struct peer_traffic {
  std::uint64_t control_messages_sent = 0;
  std::uint64_t control_bytes_sent = 0;
  std::uint64_t control_bytes_received = 0;
  std::uint64_t query_bytes_sent = 0;
  std::uint64_t query_bytes_received = 0;
};

/// The peers worker: maintains the WebSocket links between instances and sends
/// and receives CBOR messages on them.
class peer_links : public peer_port {
 public:
  peer_links(const instance_settings& settings, const instance_identity& self,
             router_ring& router, steward_ring& stewards,
             control_ring& control);
  ~peer_links() override;

  /// Binds `address` and accepts links on it. Returns an empty string on
  /// success, otherwise the error.
  std::string Listen(const endpoint& address);
  void Start();
  void Stop();

  bool Send(const std::string& peer, peer_message message) override;
  void SetAddress(const instance_identity& peer,
                  const endpoint& address) override;
  void Dial(const std::string& peer) override;
  void Forget(const std::string& peer) override;

  peer_traffic Traffic() const;

 private:
  class implementation;
  std::unique_ptr<implementation> implementation_;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_TRANSPORT_PEER_LINKS_H_
