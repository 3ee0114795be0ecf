#ifndef PAPAYAGLADE_TRANSPORT_PEER_DELIVERY_H_
#define PAPAYAGLADE_TRANSPORT_PEER_DELIVERY_H_

#include <optional>

#include "state/events.h"

namespace papayaglade {

/// Passes the messages of peers to the workers that handle them. A message for
/// a full ring is dropped with a warning, and its sender times out.
class peer_delivery {
 public:
  peer_delivery(router_ring& router, steward_ring& stewards,
                control_ring& control);

  /// Returns the refusal to send back if the stewards' ring is full.
  std::optional<shard_results> Deliver(shard_batch batch);
  void Deliver(shard_results results);
  void Deliver(shard_cancel cancel);
  void Deliver(const instance_identity& from, control_message message);
  /// Passes a link event to all workers.
  void Report(const peer_link_event& event);

 private:
  router_ring& router_;
  steward_ring& stewards_;
  control_ring& control_;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_TRANSPORT_PEER_DELIVERY_H_
