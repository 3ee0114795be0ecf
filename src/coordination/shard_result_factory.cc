#include "coordination/shard_result_factory.h"

#include <utility>

namespace papayaglade {

namespace {

std::chrono::microseconds Microseconds(monotonic_time::duration time) {
  return std::chrono::duration_cast<std::chrono::microseconds>(time);
}

shard_reason ReasonOf(upstream_verdict verdict) {
  switch (verdict) {
    case upstream_verdict::kCold:
      return shard_reason::kCold;
    case upstream_verdict::kLeaving:
      return shard_reason::kLeaving;
    case upstream_verdict::kShed:
      return shard_reason::kUpstreamRefused;
    case upstream_verdict::kMalformed:
      return shard_reason::kUpstreamError;
    case upstream_verdict::kAnswered:
    case upstream_verdict::kSnapshotGone:
      return shard_reason::kNone;
  }
  return shard_reason::kNone;
}

shard_status StatusOf(upstream_verdict verdict) {
  switch (verdict) {
    case upstream_verdict::kAnswered:
      return shard_status::kAnswered;
    case upstream_verdict::kSnapshotGone:
      return shard_status::kSnapshotGone;
    case upstream_verdict::kMalformed:
      return shard_status::kLost;
    case upstream_verdict::kCold:
    case upstream_verdict::kLeaving:
    case upstream_verdict::kShed:
      return shard_status::kNotRun;
  }
  return shard_status::kLost;
}

}  // namespace

shard_result MakeNotRunResult(shard_reason reason) {
  shard_result result;
  result.status = shard_status::kNotRun;
  result.reason = reason;
  return result;
}

shard_result MakeLostResult(shard_reason reason, monotonic_time sent,
                            monotonic_time now) {
  shard_result result;
  result.status = shard_status::kLost;
  result.reason = reason;
  result.upstream_time = Microseconds(now - sent);
  return result;
}

shard_result MakeReplyResult(const upstream_exchange& done,
                             upstream_reply reply, monotonic_time now) {
  shard_result result;
  result.status = StatusOf(reply.verdict);
  result.reason = ReasonOf(reply.verdict);
  result.snapshot = reply.snapshot;
  result.hits = std::move(reply.hits);
  result.snapshots_held = std::move(reply.snapshots_held);
  result.queue_time = Microseconds(done.sent - done.work.arrival);
  result.upstream_time = Microseconds(now - done.sent);
  return result;
}

}  // namespace papayaglade
