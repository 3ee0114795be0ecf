#include "coordination/platform_client.h"

#include <algorithm>
#include <utility>

namespace papayaglade {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr seconds kBurstTime{3};
constexpr std::size_t kMaxQueued = 256;
constexpr milliseconds kInitialSettleDelay{50};
constexpr milliseconds kMaxSettleDelay{2000};
constexpr int kMaxSettleAttempts = 20;
// Added to the timeouts of the transport; expires calls whose reply was dropped
// because a ring was full.
constexpr milliseconds kReplyGrace{1000};

milliseconds MaxAnswerTime(const platform_operation& operation,
                           milliseconds timeout) {
  const auto* watch = std::get_if<platform_watch>(&operation);
  const milliseconds wait = watch == nullptr ? milliseconds(0) : watch->wait;
  // Connecting and the exchange may each take the whole timeout.
  return 2 * timeout + wait + kReplyGrace;
}

bool IsUrgent(const platform_operation& operation) {
  return std::holds_alternative<platform_get>(operation) ||
         std::holds_alternative<platform_put>(operation);
}

const char* OutcomeName(platform_status status) {
  switch (status) {
    case platform_status::kOk:
      return "ok";
    case platform_status::kNotFound:
      return "not_found";
    case platform_status::kConflict:
      return "conflict";
    case platform_status::kGone:
      return "gone";
    case platform_status::kRejected:
      return "rejected";
    case platform_status::kUnreachable:
      return "unreachable";
    case platform_status::kLost:
      return "lost";
  }
  return "";
}

bool IsAnswer(platform_status status) {
  return status != platform_status::kUnreachable &&
         status != platform_status::kLost;
}

platform_reply Unanswered(platform_status status) {
  platform_reply reply;
  reply.status = status;
  return reply;
}

}  // namespace

platform_client::platform_client(platform_port& port, metrics_sink& metrics,
                                 platform_client_settings settings,
                                 std::uint64_t seed)
    : port_(port),
      metrics_(metrics),
      settings_(settings),
      random_(seed),
      budget_(settings.calls_per_second,
              settings.calls_per_second * kBurstTime.count()) {}

void platform_client::Call(platform_operation operation, callback done,
                           monotonic_time now) {
  auto& queue = IsUrgent(operation) ? urgent_ : regular_;
  queue.push_back({std::move(operation), std::move(done), std::nullopt, 0,
                   backoff(kInitialSettleDelay, kMaxSettleDelay), now});
  SendQueued(now);
}

void platform_client::OnTick(monotonic_time now) {
  CheckTimeouts(now);
  SendQueued(now);
  // A call that waits this long for budget is rejected, so that its owner can
  // repeat it with current data.
  while (regular_.size() > kMaxQueued) {
    const callback done = std::move(regular_.front().done);
    regular_.pop_front();
    done(Unanswered(platform_status::kRejected));
  }
}

void platform_client::SendQueued(monotonic_time now) {
  for (auto* queue : {&urgent_, &regular_}) {
    for (auto each = queue->begin(); each != queue->end();) {
      if (each->due_at > now) {
        ++each;
        continue;
      }
      if (!budget_.TrySpend(1, now)) return;
      pending_call call = std::move(*each);
      each = queue->erase(each);
      SendCall(std::move(call), now);
    }
  }
}

void platform_client::SendCall(pending_call call, monotonic_time now) {
  const std::uint64_t id = ++last_call_;
  ++call_count_;
  const monotonic_time expires_at =
      now + MaxAnswerTime(call.operation, settings_.timeout);
  const platform_operation operation = call.operation;
  sent_calls_.emplace(id, sent_call{std::move(call), expires_at});
  if (port_.CallFromControl({id, operation, settings_.timeout})) return;
  // Does not call back here, because the owner may still be inside its call.
  // The next tick reports the failure.
  sent_calls_.at(id).expires_at = now;
}

void platform_client::OnReply(const platform_reply& reply, monotonic_time now) {
  const auto found = sent_calls_.find(reply.call_id);
  if (found == sent_calls_.end()) return;
  pending_call call = std::move(found->second.call);
  sent_calls_.erase(found);
  RecordOutcome(reply.status, now);
  FinishCall(std::move(call), reply, now);
  SendQueued(now);
}

void platform_client::CheckTimeouts(monotonic_time now) {
  std::vector<pending_call> expired;
  for (auto each = sent_calls_.begin(); each != sent_calls_.end();) {
    if (each->second.expires_at > now) {
      ++each;
      continue;
    }
    expired.push_back(std::move(each->second.call));
    each = sent_calls_.erase(each);
  }
  for (pending_call& call : expired) {
    RecordOutcome(platform_status::kLost, now);
    FinishCall(std::move(call), Unanswered(platform_status::kLost), now);
  }
}

void platform_client::FinishCall(pending_call call, const platform_reply& reply,
                                 monotonic_time now) {
  const auto* put = std::get_if<platform_put>(&call.operation);
  if (put != nullptr && reply.status == platform_status::kLost) {
    call.lost_write = *put;
  }
  if (call.lost_write.has_value())
    return SettleWrite(std::move(call), reply, now);
  call.done(reply);
}

// A write without an answer may have taken effect, may take effect later, or
// never. The stored object decides: the written value at the next version means
// that the write succeeded. The expected version means that it has not taken
// effect yet; repeating the same conditional write is then safe, because at
// most one of the two can succeed.
void platform_client::SettleWrite(pending_call call,
                                  const platform_reply& reply,
                                  monotonic_time now) {
  const platform_put write = *call.lost_write;
  const platform_get read{write.kind, write.name};
  const bool was_write = std::holds_alternative<platform_put>(call.operation);
  if (was_write && reply.status == platform_status::kOk) {
    return call.done(reply);
  }
  const bool unknown = !IsAnswer(reply.status) ||
                       reply.status == platform_status::kRejected ||
                       reply.status == platform_status::kGone;
  if (unknown) return ScheduleRepeat(std::move(call), read, now);
  const platform_object* stored =
      reply.objects.empty() ? nullptr : &reply.objects.front();
  const std::uint64_t version = stored == nullptr ? 0 : stored->version;
  if (version == write.expected_version) {
    return ScheduleRepeat(std::move(call), write, now);
  }
  platform_reply result = reply;
  const bool is_own = stored != nullptr &&
                      version == write.expected_version + 1 &&
                      stored->value == write.value;
  result.status = is_own ? platform_status::kOk : platform_status::kConflict;
  call.done(result);
}

void platform_client::ScheduleRepeat(pending_call call,
                                     platform_operation operation,
                                     monotonic_time now) {
  if (++call.settle_attempts > kMaxSettleAttempts) {
    return call.done(Unanswered(platform_status::kLost));
  }
  call.operation = std::move(operation);
  call.due_at = now + call.settle_backoff.Next(random_);
  urgent_.push_back(std::move(call));
}

void platform_client::RecordOutcome(platform_status status,
                                    monotonic_time now) {
  metrics_.Add(counter_metric::kPlatformCalls, OutcomeName(status), 1);
  const bool answered = IsAnswer(status);
  if (reachable_since_.has_value() && answered == reachable_) return;
  reachable_ = answered;
  reachable_since_ = now;
}

}  // namespace papayaglade
