#include "transport/peer_delivery.h"

#include <glog/logging.h>

#include <utility>
#include <vector>

#include "state/batch_refusal.h"

namespace papayaglade {

namespace {

template <typename Ring, typename Event>
void PushOrWarn(Ring& ring, Event event) {
  if (!ring.TryPush(std::move(event))) {
    LOG(WARNING) << "event=peer_message_dropped reason=ring_full";
  }
}

}  // namespace

peer_delivery::peer_delivery(router_ring& router, steward_ring& stewards,
                             control_ring& control)
    : router_(router), stewards_(stewards), control_(control) {}

std::optional<shard_results> peer_delivery::Deliver(shard_batch batch) {
  const monotonic_time deadline = monotonic_clock::now() + batch.time_left;
  const std::vector<std::uint64_t> ids = AttemptIds(batch);
  if (stewards_.TryPush(batch_event{std::move(batch), deadline})) {
    return std::nullopt;
  }
  return RefuseAttempts(ids, shard_reason::kQueueFull);
}

void peer_delivery::Deliver(shard_results results) {
  PushOrWarn(router_, results_event{std::move(results)});
}

void peer_delivery::Deliver(shard_cancel cancel) {
  PushOrWarn(stewards_, cancel_event{std::move(cancel)});
}

void peer_delivery::Deliver(const instance_identity& from,
                            control_message message) {
  PushOrWarn(control_, control_event{from, std::move(message)});
}

void peer_delivery::Report(const peer_link_event& event) {
  PushOrWarn(router_, event);
  PushOrWarn(stewards_, event);
  PushOrWarn(control_, event);
}

}  // namespace papayaglade
