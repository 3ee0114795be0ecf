#include "coordination/shard_result_factory.h"

#include <utility>

namespace papayaglade {

namespace {

std::chrono::microseconds Microseconds(monotonic_time::duration time) {
  return std::chrono::duration_cast<std::chrono::microseconds>(time);
}

shard_reason ReasonOf(upstream_reply_code code) {
  switch (code) {
    case upstream_reply_code::kCold:
      return shard_reason::kCold;
    case upstream_reply_code::kLeaving:
      return shard_reason::kLeaving;
    case upstream_reply_code::kShed:
      return shard_reason::kUpstreamRefused;
    case upstream_reply_code::kMalformed:
      return shard_reason::kUpstreamError;
    case upstream_reply_code::kAnswered:
    case upstream_reply_code::kSnapshotGone:
      return shard_reason::kNone;
  }
  return shard_reason::kNone;
}

shard_status StatusOf(upstream_reply_code code) {
  switch (code) {
    case upstream_reply_code::kAnswered:
      return shard_status::kAnswered;
    case upstream_reply_code::kSnapshotGone:
      return shard_status::kSnapshotGone;
    case upstream_reply_code::kMalformed:
      return shard_status::kLost;
    case upstream_reply_code::kCold:
    case upstream_reply_code::kLeaving:
    case upstream_reply_code::kShed:
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
  result.status = StatusOf(reply.code);
  result.reason = ReasonOf(reply.code);
  result.snapshot = reply.snapshot;
  result.hits = std::move(reply.hits);
  result.snapshots_held = std::move(reply.snapshots_held);
  result.queue_time = Microseconds(done.sent - done.work.arrival);
  result.upstream_time = Microseconds(now - done.sent);
  return result;
}

}  // namespace papayaglade
