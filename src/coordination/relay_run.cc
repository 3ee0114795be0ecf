#include "coordination/relay_run.h"

#include <algorithm>
#include <utility>

#include "coordination/record_merge.h"

namespace papayaglade {

namespace {

using std::chrono::milliseconds;

template <typename Legs>
auto FindLeg(Legs& legs, std::uint64_t number) {
  return std::find_if(legs.begin(), legs.end(), [number](const auto& each) {
    return each.number == number;
  });
}

}  // namespace

relay_run::relay_run(relay_request request, upstream_directory& directory,
                     relay_run_port& port)
    : request_(std::move(request)), directory_(directory), port_(port) {}

void relay_run::Start(monotonic_time now) {
  flush_at_ = now + request_.flush_after;
  deadline_ = now + request_.time_left;
  static const std::vector<std::string> none;
  relay_reply unsent;
  unsent.id = request_.id;
  for (const relay_leg& each : request_.legs) {
    upstream_criteria criteria{&each.service, &none, request_.flush_after};
    criteria.own_data_centre_only = true;
    const upstream_pointer chosen = directory_.Choose(criteria, now);
    if (chosen == nullptr) {
      unsent.ends.push_back({each.number, attempt_end::kNotSent});
      continue;
    }
    open_.push_back({each.number, now, chosen});
    port_.Send(each.number, chosen, request_.time_left);
  }
  // The other instance can still ask upstreams elsewhere in time.
  if (!unsent.ends.empty()) Reply(std::move(unsent));
}

void relay_run::OnResult(std::uint64_t number, attempt_result result,
                         monotonic_time now) {
  const auto found = FindLeg(open_, number);
  if (found == open_.end()) return;
  const auto latency = std::chrono::ceil<milliseconds>(now - found->sent_at);
  const upstream_notice& said = result.notice;
  if (said.leaving || said.retry_after.has_value()) {
    const upstream_record& by = found->upstream->record;
    notices_.push_back({by.id, by.start_time_ms, said.leaving,
                        said.retry_after.value_or(milliseconds(0))});
  }
  open_.erase(found);
  if (result.end == attempt_end::kAnswered) {
    parts_.push_back({number, std::move(result.reply.signature), latency});
    bodies_.push_back(
        ReducePart(std::move(result.reply.body), request_.top_records));
  } else {
    relay_reply failed;
    failed.id = request_.id;
    failed.ends.push_back({number, result.end});
    Reply(std::move(failed));
  }
  if (open_.empty() || now >= flush_at_) Flush();
}

void relay_run::Cancel(const std::vector<std::uint64_t>& numbers) {
  for (const std::uint64_t number : numbers) {
    const auto open = FindLeg(open_, number);
    if (open != open_.end()) {
      open_.erase(open);
      port_.Abandon(number);
    }
    const auto part = FindLeg(parts_, number);
    if (part == parts_.end()) continue;
    bodies_.erase(bodies_.begin() + (part - parts_.begin()));
    parts_.erase(part);
  }
  if (open_.empty()) Flush();
}

void relay_run::CancelAll() {
  for (const open_leg& each : open_) port_.Abandon(each.number);
  open_.clear();
  parts_.clear();
  bodies_.clear();
}

void relay_run::OnTimer(monotonic_time now) {
  if (now >= flush_at_) Flush();
  if (now >= deadline_) CancelAll();
}

monotonic_time relay_run::NextTimer() const {
  return parts_.empty() ? deadline_ : std::min(flush_at_, deadline_);
}

void relay_run::Flush() {
  if (parts_.empty()) return;
  std::vector<const std::string*> bodies;
  for (const std::string& each : bodies_) bodies.push_back(&each);
  relay_reply reply;
  reply.id = request_.id;
  reply.records = MergeRecords(bodies, request_.top_records);
  reply.parts = std::exchange(parts_, {});
  bodies_.clear();
  Reply(std::move(reply));
}

void relay_run::Reply(relay_reply reply) {
  reply.notices = std::exchange(notices_, {});
  port_.Reply(std::move(reply));
}

}  // namespace papayaglade
