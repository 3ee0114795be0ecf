#include "transport/upstream_exchanges.h"

#include <algorithm>
#include <utility>

namespace papayaglade {

namespace {

constexpr std::chrono::milliseconds kConnectTimeout{300};
// How long an abandoned exchange may go on, so that its connection can be
// kept and its answer tells how the upstream fares.
constexpr std::chrono::milliseconds kLinger{300};
// After so many usual times without an answer an upstream counts as silent.
constexpr int kSilentTimes = 3;
constexpr std::chrono::milliseconds kLeastPatience{120};
// Connections beyond the first to an upstream are kept only while they are
// used: the upstream's limit is shared with the other instances.
constexpr std::chrono::seconds kSpareIdle{2};

}  // namespace

upstream_exchanges::upstream_exchanges(loop_context& loop,
                                       const entry_wire_format& wire,
                                       upstream_directory& directory,
                                       attempt_policy& policy,
                                       path_watch& paths)
    : loop_(loop),
      wire_(wire),
      directory_(directory),
      policy_(policy),
      paths_(paths) {}

upstream_exchanges::id upstream_exchanges::Begin(order order, handler done) {
  const monotonic_time now = loop_context::Now();
  const id number = ++last_;
  exchange begun;
  begun.done = std::move(done);
  begun.usual = policy_.Usual(*order.target);
  begun.begun = order.upstream->health.BeginAttempt(
      now, std::max<std::chrono::microseconds>(kLeastPatience,
                                               kSilentTimes * begun.usual));
  begun.fanout = std::holds_alternative<fanout_target>(order.target->target);
  begun.channel = TakeChannel(order.upstream);
  directory_.CountSent(*order.upstream, now);
  ++totals_.sent;
  std::string text = wire_.EncodeAttempt(*order.request, order.time_left,
                                         order.upstream->record.id);
  const bool head = order.request->method == "HEAD";
  const channel_pointer channel = begun.channel;
  begun.details = std::move(order);
  exchanges_.emplace(number, std::move(begun));
  channel->Exchange(std::move(text), head,
                    [this, number](http_exchange_channel::result result) {
                      OnResult(number, std::move(result));
                    });
  return number;
}

void upstream_exchanges::Abandon(id number) {
  const auto found = exchanges_.find(number);
  if (found == exchanges_.end()) return;
  found->second.done = nullptr;
  loop_.After(kLinger, [this, number](monotonic_time) { EndLinger(number); });
}

void upstream_exchanges::Sweep() {
  const monotonic_time now = loop_context::Now();
  for (auto each = pools_.begin(); each != pools_.end();) {
    std::vector<channel_pointer>& idle = each->second.idle;
    const bool gone = !directory_.Knows(each->second.upstream);
    const channel_pointer newest = idle.empty() ? nullptr : idle.back();
    const auto usable = [&](const channel_pointer& channel) {
      const bool spare =
          channel != newest && now - channel->LastUsed() > kSpareIdle;
      return !gone && !spare && channel->Reusable() &&
             channel->IdleUntil() > now;
    };
    const auto end = std::stable_partition(idle.begin(), idle.end(), usable);
    for (auto ended = end; ended != idle.end(); ++ended) (*ended)->Close();
    idle.erase(end, idle.end());
    each = idle.empty() ? pools_.erase(each) : std::next(each);
  }
}

upstream_exchanges::channel_pointer upstream_exchanges::TakeChannel(
    const upstream_pointer& upstream) {
  const auto found = pools_.find(upstream.get());
  if (found != pools_.end()) {
    std::vector<channel_pointer>& idle = found->second.idle;
    while (!idle.empty()) {
      channel_pointer last = std::move(idle.back());
      idle.pop_back();
      if (last->Reusable() && last->IdleUntil() > loop_context::Now()) {
        return last;
      }
      last->Close();
    }
  }
  ++totals_.connected;
  return std::make_shared<http_exchange_channel>(
      loop_, upstream->record.address, kConnectTimeout);
}

void upstream_exchanges::OnResult(id number,
                                  http_exchange_channel::result result) {
  const auto found = exchanges_.find(number);
  if (found == exchanges_.end()) return;
  exchange ended = std::move(found->second);
  exchanges_.erase(found);
  attempt_result judged;
  NotePath(ended, !result.failure.has_value());
  if (result.failure.has_value()) {
    judged.end = *result.failure == channel_failure::kNotConnected
                     ? attempt_end::kNotSent
                     : attempt_end::kBroken;
    judged.why = result.why;
  } else {
    judged = wire_.DecodeReply(std::move(result.message),
                               *ended.details.request, ended.fanout);
    // After an answer to another request nothing on it can be trusted.
    if (judged.end == attempt_end::kBroken ||
        judged.end == attempt_end::kOtherUpstream) {
      ended.channel->Close();
    } else {
      GiveBack(ended.details.upstream, ended.channel);
    }
  }
  ++totals_.ends[judged.end];
  NoteHealth(ended, judged.end);
  if (ended.done) ended.done(std::move(judged));
}

void upstream_exchanges::NoteHealth(const exchange& ended, attempt_end end) {
  const monotonic_time now = loop_context::Now();
  observed_health& health = ended.details.upstream->health;
  switch (end) {
    case attempt_end::kAnswered:
      health.Answered(ended.begun, ended.usual, now);
      policy_.Observe(*ended.details.target,
                      std::chrono::duration_cast<std::chrono::microseconds>(
                          now - ended.begun));
      return;
    case attempt_end::kOtherUpstream:
      health.Dropped(ended.begun);
      directory_.Forget(ended.details.upstream->record.id);
      return;
    case attempt_end::kNotSent:
      health.Dropped(ended.begun);
      health.Unreachable(now);
      return;
    case attempt_end::kFailedAnswer:
    case attempt_end::kNotRun:
    case attempt_end::kBroken:
      health.Failed(ended.begun, now);
      return;
  }
}

void upstream_exchanges::NotePath(const exchange& ended, bool contact) {
  const upstream_record& record = ended.details.upstream->record;
  if (contact) {
    paths_.OnContact(record.data_centre, loop_context::Now());
  } else {
    paths_.OnLoss(record.data_centre, record.id);
  }
}

void upstream_exchanges::Probe(const upstream_pointer& upstream) {
  const auto socket = std::make_shared<stream_socket>(loop_);
  ++totals_.connected;
  socket->Connect(
      upstream->record.address, kConnectTimeout,
      [this, socket, upstream](const boost::system::error_code& failed) {
        socket->Close();
        if (failed) return;
        paths_.OnContact(upstream->record.data_centre, loop_context::Now());
      });
}

void upstream_exchanges::GiveBack(const upstream_pointer& upstream,
                                  channel_pointer channel) {
  if (!channel->Reusable()) return channel->Close();
  pool& own = pools_[upstream.get()];
  own.upstream = upstream;
  own.idle.push_back(std::move(channel));
}

void upstream_exchanges::EndLinger(id number) {
  const auto found = exchanges_.find(number);
  if (found == exchanges_.end()) return;
  const exchange& late = found->second;
  const monotonic_time now = loop_context::Now();
  observed_health& health = late.details.upstream->health;
  if (now - late.begun > kSilentTimes * late.usual + kLinger) {
    health.Silent(late.begun, now);
    NotePath(late, false);
    if (on_silent_) {
      on_silent_(late.details.upstream->record,
                 std::chrono::duration_cast<std::chrono::milliseconds>(
                     now - late.begun));
    }
  } else {
    health.Dropped(late.begun);
  }
  late.channel->Close();
  exchanges_.erase(found);
}

}  // namespace papayaglade
