#include "transport/upstream_client.h"

#include <algorithm>
#include <utility>

#include "coordination/abandoned_attempt.h"

namespace papayaglade {

namespace {

constexpr std::chrono::milliseconds kConnectTimeout{300};
// An upstream counts as silent if it has not answered within this multiple of
// the usual latency.
constexpr int kSilenceFactor = 3;
constexpr std::chrono::milliseconds kMinSilenceTimeout{120};
// An upstream that is silent for this much longer is blocked for a while.
constexpr std::chrono::milliseconds kMinBlockedSilence{300};
// Idle connections to an upstream other than the newest are closed after this
// time, because all instances share the upstream's connection limit.
constexpr std::chrono::seconds kMaxSpareIdle{2};

bool IsUsable(const http_exchange_channel& channel, monotonic_time now) {
  return channel.IsReusable() && channel.IdleDeadline() > now;
}

std::chrono::microseconds SilenceTimeout(
    std::chrono::microseconds usual_latency) {
  return std::max<std::chrono::microseconds>(kMinSilenceTimeout,
                                             kSilenceFactor * usual_latency);
}

}  // namespace

upstream_client::upstream_client(loop_context& loop,
                                 const entry_wire_format& wire,
                                 upstream_directory& directory,
                                 attempt_policy& policy,
                                 reachability_monitor& reachability,
                                 std::size_t answer_bytes)
    : loop_(loop),
      wire_(wire),
      directory_(directory),
      policy_(policy),
      reachability_(reachability),
      answer_memory_(std::make_shared<answer_memory>(answer_bytes)) {}

upstream_client::id upstream_client::StartAttempt(attempt_spec spec,
                                                  handler done) {
  const monotonic_time now = loop_context::Now();
  const id number = ++last_id_;
  exchange started;
  started.done = std::move(done);
  started.usual_latency = policy_.MedianLatency(*spec.target);
  started.start_time = spec.upstream->health.BeginAttempt(
      now, SilenceTimeout(started.usual_latency));
  started.fanout = std::holds_alternative<fanout_target>(spec.target->target);
  started.deadline = now + spec.time_left;
  started.carrier = AcquireConnection(spec.upstream, spec.request->id);
  directory_.CountSent(*spec.upstream, now);
  ++totals_.sent;
  if (spec.upstream->IsLeaving()) CountSentToLeaving(*spec.upstream, now);
  std::string text = wire_.EncodeAttempt(*spec.request, spec.time_left,
                                         spec.upstream->record.id);
  const bool is_head = spec.request->method == "HEAD";
  const channel_pointer channel = started.carrier.channel;
  started.spec = std::move(spec);
  exchanges_.emplace(number, std::move(started));
  channel->Exchange(std::move(text), is_head,
                    [this, number](http_exchange_channel::result result) {
                      OnResult(number, std::move(result));
                    });
  return number;
}

bool upstream_client::IsConnected(id exchange) const {
  const auto found = exchanges_.find(exchange);
  return found != exchanges_.end() &&
         found->second.carrier.channel->IsConnected();
}

void upstream_client::Abandon(id number) {
  const auto found = exchanges_.find(number);
  if (found == exchanges_.end()) return;
  exchange& abandoned = found->second;
  abandoned.done = nullptr;
  const auto age = std::chrono::duration_cast<std::chrono::microseconds>(
      loop_context::Now() - abandoned.start_time);
  const auto timeout = AbandonedAttemptTimeout(age, abandoned.usual_latency);
  if (timeout.count() == 0) return CancelAbandoned(number);
  loop_.ScheduleAfter(
      timeout, [this, number](monotonic_time) { CancelAbandoned(number); });
}

void upstream_client::CloseUnusedConnections() {
  const monotonic_time now = loop_context::Now();
  for (auto each = pools_.begin(); each != pools_.end();) {
    std::vector<connection>& idle = each->second.idle;
    const bool gone = !directory_.Contains(each->second.upstream);
    const channel_pointer newest = idle.empty() ? nullptr : idle.back().channel;
    const auto usable = [&](const connection& kept) {
      const http_exchange_channel& channel = *kept.channel;
      const bool spare =
          kept.channel != newest && now - channel.LastUsed() > kMaxSpareIdle;
      return !gone && !spare && IsUsable(channel, now);
    };
    const auto end = std::stable_partition(idle.begin(), idle.end(), usable);
    for (auto ended = end; ended != idle.end(); ++ended)
      ended->channel->Close();
    idle.erase(end, idle.end());
    each = idle.empty() ? pools_.erase(each) : std::next(each);
  }
}

upstream_client::connection upstream_client::AcquireConnection(
    const upstream_pointer& upstream, const std::string& request_id) {
  std::optional<connection> kept = TakeIdleConnection(upstream, request_id);
  if (kept.has_value()) return std::move(*kept);
  ++totals_.connected;
  return {std::make_shared<http_exchange_channel>(
              loop_, upstream->record.address, kConnectTimeout, answer_memory_),
          {}};
}

std::optional<upstream_client::connection> upstream_client::TakeIdleConnection(
    const upstream_pointer& upstream, const std::string& request_id) {
  const auto found = pools_.find(upstream.get());
  if (found == pools_.end()) return std::nullopt;
  std::vector<connection>& idle = found->second.idle;
  const monotonic_time now = loop_context::Now();
  for (auto next = idle.size(); next > 0; --next) {
    const auto each = idle.begin() + static_cast<std::ptrdiff_t>(next - 1);
    const bool usable = IsUsable(*each->channel, now);
    if (usable && each->repeatable.Contains(request_id)) continue;
    connection taken = std::move(*each);
    idle.erase(each);
    if (usable) return taken;
    taken.channel->Close();
  }
  // The connection that is opened instead takes the place of one of these, so
  // that the share of the upstream's connections is kept.
  if (!idle.empty()) {
    idle.front().channel->Close();
    idle.erase(idle.begin());
  }
  return std::nullopt;
}

void upstream_client::CountSentToLeaving(const known_upstream& upstream,
                                         monotonic_time now) {
  ++totals_.sent_to_leaving;
  if (!on_sent_to_leaving_) return;
  on_sent_to_leaving_(upstream.record,
                      std::chrono::duration_cast<std::chrono::milliseconds>(
                          *upstream.usable_until - now));
}

void upstream_client::OnResult(id number,
                               http_exchange_channel::result result) {
  const auto found = exchanges_.find(number);
  if (found == exchanges_.end()) return;
  exchange ended = std::move(found->second);
  exchanges_.erase(found);
  attempt_result outcome;
  RecordPath(ended, !result.failure.has_value());
  if (result.has_head)
    outcome.notice = ApplyNotice(*ended.spec.upstream, result.message);
  if (result.failure.has_value()) {
    outcome.end = *result.failure == channel_failure::kNotConnected
                      ? attempt_end::kNotSent
                      : attempt_end::kBroken;
    outcome.why = result.why;
  } else {
    const upstream_notice notice = outcome.notice;
    outcome = wire_.DecodeReply(std::move(result.message), *ended.spec.request,
                                ended.fanout);
    outcome.notice = notice;
    // After an answer to another request, no further answer on the connection
    // can be trusted.
    if (outcome.end == attempt_end::kBroken ||
        outcome.end == attempt_end::kOtherUpstream) {
      ended.carrier.channel->Close();
    } else {
      ReturnConnection(ended, outcome);
    }
  }
  ++totals_.ends[outcome.end];
  RecordHealth(ended, outcome.end);
  if (ended.done) ended.done(std::move(outcome));
}

upstream_notice upstream_client::ApplyNotice(known_upstream& upstream,
                                             const upstream_message& message) {
  const upstream_notice notice = wire_.DecodeNotice(message);
  const bool leaves = notice.leaving && !upstream.announced_leaving;
  const bool is_new =
      directory_.ApplyNotice(upstream, notice, loop_context::Now());
  if (leaves) ++totals_.leaving_notices;
  if (notice.retry_after.has_value()) ++totals_.pauses;
  if (on_notice_ && (is_new || notice.retry_after_unreadable)) {
    on_notice_(upstream.record, notice);
  }
  return notice;
}

void upstream_client::RecordHealth(const exchange& ended, attempt_end end) {
  const monotonic_time now = loop_context::Now();
  observed_health& health = ended.spec.upstream->health;
  switch (end) {
    case attempt_end::kAnswered:
      health.RecordAnswer(ended.start_time, ended.usual_latency, now);
      ended.spec.upstream->pause.RecordAnswer(ended.start_time);
      policy_.RecordLatency(
          *ended.spec.target,
          std::chrono::duration_cast<std::chrono::microseconds>(
              now - ended.start_time));
      return;
    case attempt_end::kOtherUpstream:
      health.RecordCancellation(ended.start_time);
      directory_.Erase(ended.spec.upstream->record.id);
      return;
    case attempt_end::kNotSent:
      health.RecordCancellation(ended.start_time);
      health.RecordConnectFailure(now);
      return;
    case attempt_end::kFailedAnswer:
    case attempt_end::kNotRun:
    case attempt_end::kBroken:
      health.RecordFailure(ended.start_time, now);
      return;
  }
}

void upstream_client::RecordPath(const exchange& ended, bool contact) {
  const upstream_record& record = ended.spec.upstream->record;
  if (contact) {
    reachability_.OnContact(record.data_centre, loop_context::Now());
  } else {
    reachability_.OnFailure(record.data_centre, record.id);
  }
}

void upstream_client::Probe(const upstream_pointer& upstream) {
  const auto socket = std::make_shared<stream_socket>(loop_);
  ++totals_.connected;
  socket->Connect(
      upstream->record.address, kConnectTimeout,
      [this, socket, upstream](const boost::system::error_code& failed) {
        socket->Close();
        if (failed) return;
        reachability_.OnContact(upstream->record.data_centre,
                                loop_context::Now());
      });
}

void upstream_client::ReturnConnection(exchange& ended,
                                       const attempt_result& outcome) {
  connection& carrier = ended.carrier;
  const bool keeps_repeats_apart =
      outcome.end == attempt_end::kAnswered ||
      carrier.repeatable.Add(ended.spec.request->id, ended.deadline,
                             loop_context::Now());
  if (!outcome.names_request || !keeps_repeats_apart ||
      !carrier.channel->IsReusable()) {
    return carrier.channel->Close();
  }
  pool& upstream_pool = pools_[ended.spec.upstream.get()];
  upstream_pool.upstream = ended.spec.upstream;
  upstream_pool.idle.push_back(std::move(carrier));
}

void upstream_client::CancelAbandoned(id number) {
  const auto found = exchanges_.find(number);
  if (found == exchanges_.end()) return;
  const exchange abandoned = std::move(found->second);
  exchanges_.erase(found);
  abandoned.carrier.channel->Close();
  const monotonic_time now = loop_context::Now();
  const auto age = now - abandoned.start_time;
  observed_health& health = abandoned.spec.upstream->health;
  if (age >= SilenceTimeout(abandoned.usual_latency)) {
    RecordPath(abandoned, false);
  }
  if (age <= kSilenceFactor * abandoned.usual_latency + kMinBlockedSilence) {
    return health.RecordLate(abandoned.start_time, abandoned.usual_latency,
                             now);
  }
  health.RecordTimeout(abandoned.start_time, now);
  if (!on_silent_) return;
  on_silent_(abandoned.spec.upstream->record,
             std::chrono::duration_cast<std::chrono::milliseconds>(age));
}

}  // namespace papayaglade
