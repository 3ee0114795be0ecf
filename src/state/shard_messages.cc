#include "state/shard_messages.h"

namespace papayaglade {

const char* ShardReasonName(shard_reason reason) {
  switch (reason) {
    case shard_reason::kNone:
      return "none";
    case shard_reason::kNoSteward:
      return "no_steward";
    case shard_reason::kNotSteward:
      return "not_steward";
    case shard_reason::kStandingUnproven:
      return "standing_unproven";
    case shard_reason::kCold:
      return "cold";
    case shard_reason::kLeaving:
      return "leaving";
    case shard_reason::kDataCentreOut:
      return "data_centre_out";
    case shard_reason::kQueueFull:
      return "queue_full";
    case shard_reason::kDeadline:
      return "deadline";
    case shard_reason::kUpstreamRefused:
      return "upstream_refused";
    case shard_reason::kUpstreamLost:
      return "upstream_lost";
    case shard_reason::kUpstreamDown:
      return "upstream_down";
    case shard_reason::kPeerUnreachable:
      return "peer_unreachable";
    case shard_reason::kCancelled:
      return "cancelled";
    case shard_reason::kUpstreamError:
      return "upstream_error";
    case shard_reason::kSnapshotGone:
      return "snapshot_gone";
  }
  return "unknown";
}

}  // namespace papayaglade
