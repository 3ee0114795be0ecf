#include "app/dispatch_adapter.h"

#include <utility>

#include "protocol/upstream_codec.h"

namespace papayaglade {

namespace {

// Leaves 10^12 ids for each upstream.
constexpr unsigned kUpstreamNumberShift = 40;

std::string AttemptNameOf(const queued_attempt& attempt) {
  return AttemptName(attempt.batch->origin, attempt.Attempt().attempt_id);
}

}  // namespace

dispatch_adapter::dispatch_adapter(std::uint64_t number, timer_service& timer,
                                   upstream_port& upstreams,
                                   result_outbox& results)
    : upstream_number_(number),
      timer_(timer),
      upstreams_(upstreams),
      results_(results) {}

std::uint64_t dispatch_adapter::UpstreamNumberOf(std::uint64_t id) {
  return id >> kUpstreamNumberShift;
}

std::uint64_t dispatch_adapter::NextId() {
  return (upstream_number_ << kUpstreamNumberShift) | ++last_id_;
}

bool dispatch_adapter::Open(const open_connection& command) {
  return upstreams_.Send(command);
}

void dispatch_adapter::Close(std::uint64_t connection_id) {
  // A connection must not stay open unnoticed, so a close that was rejected
  // because the ring was full is retried with the next close.
  pending_closes_.push_back(connection_id);
  while (!pending_closes_.empty() &&
         upstreams_.Send(close_connection{pending_closes_.back()})) {
    pending_closes_.pop_back();
  }
}

bool dispatch_adapter::SendWork(std::uint64_t connection_id,
                                std::uint64_t exchange_id,
                                const queued_attempt& attempt,
                                monotonic_time now, monotonic_time not_after) {
  const shard_batch& batch = *attempt.batch;
  const shard_attempt& wanted = attempt.Attempt();
  const auto left = std::chrono::duration_cast<std::chrono::microseconds>(
      attempt.deadline - now);
  http_request request = FormatUpstreamRequest(
      {AttemptNameOf(attempt), wanted.shard, batch.snapshot, batch.request_id,
       batch.query, left, batch.repeatable});
  ++counts_.requests;
  return upstreams_.Send(send_exchange{
      connection_id, exchange_id, std::move(request.method),
      std::move(request.target), std::move(request.body), not_after});
}

bool dispatch_adapter::SendCancel(std::uint64_t connection_id,
                                  std::uint64_t exchange_id,
                                  const std::vector<queued_attempt>& attempts) {
  std::vector<std::string> names;
  names.reserve(attempts.size());
  for (const queued_attempt& each : attempts)
    names.push_back(AttemptNameOf(each));
  http_request request = FormatUpstreamCancel(names);
  return upstreams_.Send(
      send_exchange{connection_id, exchange_id, std::move(request.method),
                    std::move(request.target), std::move(request.body)});
}

bool dispatch_adapter::SendHealth(std::uint64_t connection_id,
                                  std::uint64_t exchange_id) {
  http_request request = FormatHealthRequest();
  return upstreams_.Send(
      send_exchange{connection_id, exchange_id, std::move(request.method),
                    std::move(request.target), std::move(request.body)});
}

void dispatch_adapter::Finish(const queued_attempt& attempt,
                              shard_result result) {
  result.attempt_id = attempt.Attempt().attempt_id;
  if (result.status == shard_status::kLost) ++counts_.losses;
  if (result.status != shard_status::kAnswered) {
    ++counts_.refusals.at(static_cast<std::size_t>(result.reason));
  }
  results_.Add(attempt.batch->origin, std::move(result));
}

dispatch_counts dispatch_adapter::TakeCounts() {
  return std::exchange(counts_, {});
}

}  // namespace papayaglade
