#include "app/request_log.h"

#include <array>
#include <utility>

#include "protocol/caller_codec.h"
#include "state/overloaded.h"

namespace papayaglade {

namespace {

// Unknown workload names are chosen by callers, so they share one metric label.
constexpr char kUnknownWorkload[] = "(unknown)";

const error kNoError;

const account& DetailsOf(const caller_outcome& outcome) {
  return std::visit(
      [](const auto& each) -> const account& { return each.details; }, outcome);
}

const error& CauseOf(const caller_outcome& outcome) {
  return std::visit(
      overloaded{
          [](const answered& /*each*/) -> const error& { return kNoError; },
          [](const auto& each) -> const error& { return each.cause; },
      },
      outcome);
}

}  // namespace

void request_log::RecordFinished(const caller_request& request,
                                 const caller_outcome& outcome,
                                 const attempt_counts& counts,
                                 request_class priority,
                                 std::chrono::microseconds latency) {
  const account& details = DetailsOf(outcome);
  const char* name = CallerOutcomeName(outcome);
  metrics_.Record({request.workload, priority, request.caller, name, latency,
                   details.coverage});
  CountAttempts(request, details, counts);
  history_.Add({details, name, request.caller, CauseOf(outcome), latency,
                request.deadline.value_or(std::chrono::milliseconds(0))});
}

void request_log::RecordRefused(const caller_request& request,
                                const error& cause,
                                std::chrono::microseconds latency) {
  const bool known = cause.kind != error_kind::kUnknownName;
  request_sample sample;
  sample.workload = known ? request.workload : kUnknownWorkload;
  sample.caller = request.caller;
  sample.outcome = "not_run";
  sample.latency = latency;
  metrics_.Record(sample);
  finished_request refused;
  refused.details.request_id = request.request_id;
  refused.details.workload = request.workload;
  refused.outcome = "not_run";
  refused.caller = request.caller;
  refused.cause = cause;
  refused.latency = latency;
  history_.Add(std::move(refused));
}

void request_log::SetOpenCount(std::size_t open) {
  metrics_.Set(gauge_metric::kQueriesInFlight, "all",
               static_cast<double>(open));
}

std::string request_log::Explain(const std::string& request_id) const {
  const finished_request* found = history_.Find(request_id);
  return found == nullptr ? "" : FormatFinishedRequest(*found);
}

void request_log::CountAttempts(const caller_request& request,
                                const account& details,
                                const attempt_counts& counts) {
  metrics_.Add(counter_metric::kFirstAttempts, request.workload,
               counts.first_attempts);
  if (counts.retries > 0) {
    metrics_.Add(counter_metric::kRetries, request.workload,
                 static_cast<std::uint64_t>(counts.retries));
  }
  if (counts.hedges > 0) {
    metrics_.Add(counter_metric::kHedges, request.workload,
                 static_cast<std::uint64_t>(counts.hedges));
  }
  constexpr auto kReasons =
      static_cast<std::size_t>(shard_reason::kSnapshotGone) + 1;
  std::array<std::uint64_t, kReasons> refusals{};
  for (const shard_account& line : details.shards) {
    if (line.outcome == shard_outcome::kAnswered) continue;
    ++refusals.at(static_cast<std::size_t>(line.reason));
  }
  for (std::size_t i = 0; i < kReasons; ++i) {
    if (refusals.at(i) == 0) continue;
    metrics_.Add(counter_metric::kShardRefusals,
                 ShardReasonName(static_cast<shard_reason>(i)), refusals.at(i));
  }
}

}  // namespace papayaglade
