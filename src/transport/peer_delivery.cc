#include "transport/peer_delivery.h"

#include <glog/logging.h>

#include <utility>
#include <vector>

namespace papayaglade {

namespace {

template <typename Ring, typename Event>
void Push(Ring& ring, Event event) {
  if (!ring.TryPush(std::move(event))) {
    LOG(WARNING) << "event=peer_message_dropped reason=ring_full";
  }
}

std::vector<std::uint64_t> AttemptIds(const shard_batch& batch) {
  std::vector<std::uint64_t> ids;
  ids.reserve(batch.attempts.size());
  for (const shard_attempt& each : batch.attempts) {
    ids.push_back(each.attempt_id);
  }
  return ids;
}

// What a full ring answers: nothing ran, and why.
shard_results RefuseAll(const std::vector<std::uint64_t>& attempt_ids) {
  shard_results refusal;
  for (const std::uint64_t id : attempt_ids) {
    shard_result result;
    result.attempt_id = id;
    result.status = shard_status::kNotRun;
    result.reason = shard_reason::kQueueFull;
    refusal.results.push_back(std::move(result));
  }
  return refusal;
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
  return RefuseAll(ids);
}

void peer_delivery::Deliver(shard_results results) {
  Push(router_, results_event{std::move(results)});
}

void peer_delivery::Deliver(shard_cancel cancel) {
  Push(stewards_, cancel_event{std::move(cancel)});
}

void peer_delivery::Deliver(const instance_identity& from,
                            control_message message) {
  Push(control_, control_event{from, std::move(message)});
}

void peer_delivery::Report(const peer_link_event& event) {
  Push(router_, event);
  Push(stewards_, event);
  Push(control_, event);
}

}  // namespace papayaglade
