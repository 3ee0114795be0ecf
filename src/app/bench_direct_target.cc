#include "app/bench_direct_target.h"

#include <utility>

#include "protocol/upstream_codec.h"

namespace papayaglade {

bench_direct_target::bench_direct_target(boost::asio::io_context& io,
                                         const service_definition& service,
                                         partition_map map, std::string query,
                                         std::chrono::milliseconds timeout)
    : map_(std::move(map)), query_(std::move(query)), timeout_(timeout) {
  for (const upstream_definition& each : service.upstreams) {
    upstreams_[each.name] = std::make_unique<bench_connection_pool>(
        io, each.address, static_cast<std::size_t>(each.limits.slots), timeout);
  }
}

void bench_direct_target::Send(answer_handler done) {
  const auto query = std::make_shared<pending_query>();
  query->done = std::move(done);
  query->replies_pending = map_.shards.size();
  for (const shard_placement& shard : map_.shards) {
    upstream_request request;
    request.attempt = AttemptName({"bench", 1}, ++last_attempt_);
    request.shard = shard.shard;
    request.snapshot = map_.snapshot;
    request.request_id = request.attempt;
    request.query = query_;
    request.time_left = timeout_;
    LeastLoaded(shard).Send(
        FormatUpstreamRequest(request),
        [this, query](const http_connection::outcome& result) {
          OnReply(query, result);
        });
  }
}

bench_connection_pool& bench_direct_target::LeastLoaded(
    const shard_placement& shard) {
  bench_connection_pool* best = nullptr;
  for (const std::string& replica : shard.replicas) {
    bench_connection_pool& candidate = *upstreams_.at(replica);
    if (best == nullptr || candidate.PendingCount() < best->PendingCount())
      best = &candidate;
  }
  return *best;
}

void bench_direct_target::OnReply(const std::shared_ptr<pending_query>& query,
                                  const http_connection::outcome& result) {
  if (!result.failure.has_value()) {
    const upstream_reply reply = ParseUpstreamReply(result.status, result.body);
    if (reply.code == upstream_reply_code::kAnswered) ++query->shards_answered;
  }
  if (--query->replies_pending > 0) return;
  bench_answer answer;
  answer.outcome = "answered";
  answer.shards = static_cast<int>(map_.shards.size());
  answer.coverage = static_cast<double>(query->shards_answered) /
                    static_cast<double>(map_.shards.size());
  query->done(std::move(answer));
}

}  // namespace papayaglade
