#include "coordination/outbox.h"

#include <algorithm>
#include <utility>

namespace papayaglade {

namespace {

// A query has at most a hundred stewards, and most calls are for the steward of
// the previous call, so the search is linear from the end.
template <typename Entry>
Entry& FindOrAddEntry(std::uint32_t steward, std::vector<Entry>& entries) {
  const auto found = std::find_if(
      entries.rbegin(), entries.rend(),
      [steward](const Entry& each) { return each.steward == steward; });
  if (found != entries.rend()) return *found;
  entries.push_back({steward, {}});
  return entries.back();
}

shard_batch EmptyBatch(const query_spec& spec, std::uint64_t snapshot,
                       const query_context& context) {
  const workload& work = *spec.route.work;
  shard_batch batch;
  batch.origin = context.self;
  batch.request_id = spec.request.request_id;
  batch.service = spec.route.plan->service->name;
  batch.workload = work.name;
  batch.caller = spec.request.caller;
  batch.priority = work.priority;
  batch.repeatable = work.repeatable;
  batch.snapshot = snapshot;
  batch.query = spec.request.query;
  return batch;
}

}  // namespace

void outbox::Send(std::uint32_t steward, shard_attempt attempt) {
  FindOrAddEntry(steward, batches_).attempts.push_back(std::move(attempt));
}

void outbox::Cancel(std::uint32_t steward, std::uint64_t attempt_id) {
  if (RemoveUnsent(attempt_id)) return;
  FindOrAddEntry(steward, cancels_).attempt_ids.push_back(attempt_id);
}

// An attempt that is cancelled in the same event that added it must not be sent
// after its own cancellation.
bool outbox::RemoveUnsent(std::uint64_t attempt_id) {
  for (steward_batch& batch : batches_) {
    const auto unsent =
        std::find_if(batch.attempts.begin(), batch.attempts.end(),
                     [attempt_id](const shard_attempt& each) {
                       return each.attempt_id == attempt_id;
                     });
    if (unsent == batch.attempts.end()) continue;
    batch.attempts.erase(unsent);
    return true;
  }
  return false;
}

void outbox::Flush(const query_spec& spec, std::uint64_t snapshot,
                   const query_context& context, monotonic_time answer_by,
                   monotonic_time now, query_actions& out) {
  for (steward_cancel& each : cancels_) {
    out.emplace_back(cancel_attempts{context.stewards.NameOf(each.steward),
                                     std::move(each.attempt_ids)});
  }
  cancels_.clear();
  for (steward_batch& each : batches_) {
    if (each.attempts.empty()) continue;
    shard_batch batch = EmptyBatch(spec, snapshot, context);
    batch.time_left =
        std::chrono::duration_cast<std::chrono::microseconds>(answer_by - now);
    batch.attempts = std::move(each.attempts);
    out.emplace_back(send_batch{context.stewards.NameOf(each.steward),
                                std::move(batch), answer_by});
  }
  batches_.clear();
}

}  // namespace papayaglade
