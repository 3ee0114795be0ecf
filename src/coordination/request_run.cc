#include "coordination/request_run.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "coordination/record_merge.h"

namespace papayaglade {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

// The answer's way back to the caller, and that of the request before.
constexpr milliseconds kAnswerMargin{10};
constexpr milliseconds kTargetMargin{8};
constexpr double kTargetMarginShare = 0.12;
constexpr milliseconds kTimeWithoutLimit{30000};
// How often a leg without an upstream, or a hedge without budget, is tried.
constexpr milliseconds kSendAgain{10};
constexpr milliseconds kHedgeAgain{15};
// The part of its time to settle that a request may wait for a connection.
constexpr double kRoomWaitShare = 0.8;
// With less an upstream could do nothing, and 0 would tell it of no limit.
constexpr milliseconds kLeastAttemptTime{5};
// An upstream without room may have some soon; each time it is left alone for
// twice as long.
constexpr std::size_t kMostAskedAgain = 3;
constexpr milliseconds kFirstAskAgain{8};
constexpr std::size_t kMostUnreachable = 3;
// An attempt pending for so many hedge delays makes its upstream suspect.
constexpr double kSuspectDelays = 1.2;

milliseconds Allowed(const request_run::context& context) {
  milliseconds allowed = kTimeWithoutLimit;
  if (context.target->timeout.count() > 0) {
    allowed = std::min(allowed, context.target->timeout);
  }
  if (context.time_left.has_value()) {
    allowed = std::min(allowed, *context.time_left - kAnswerMargin);
  }
  return allowed;
}

milliseconds TimeToSettle(const route& route, milliseconds allowed) {
  const milliseconds target = route.latency_target;
  if (target.count() == 0) return allowed;
  const milliseconds margin =
      kTargetMargin +
      milliseconds(static_cast<std::int64_t>(
          kTargetMarginShare * static_cast<double>(target.count())));
  return std::min(allowed, target - margin);
}

}  // namespace

request_run::request_run(context context, upstream_directory& directory,
                         attempt_policy& policy, run_port& port)
    : context_(std::move(context)),
      directory_(directory),
      policy_(policy),
      port_(port),
      fanout_(std::get_if<fanout_target>(&context_.target->target)) {
  const milliseconds allowed = Allowed(context_);
  end_ = context_.arrival + allowed;
  settle_ = context_.arrival + TimeToSettle(*context_.target, allowed);
  next_wake_ = end_;
}

void request_run::Start(monotonic_time now) {
  if (fanout_ != nullptr) {
    for (const std::string& each : fanout_->shards) {
      legs_.emplace_back();
      legs_.back().service = each;
    }
  } else {
    legs_.emplace_back();
    const route_target& target = context_.target->target;
    const auto* weighted = std::get_if<weighted_target>(&target);
    legs_.back().service =
        weighted != nullptr ? policy_.NextService(*context_.target, *weighted)
                            : std::get<single_target>(target).service;
  }
  open_ = legs_.size();
  for (const leg& each : legs_) policy_.CountRequest(each.service, now);
  if (now >= end_) return Finish(refused_answer{refusal::kExpired, {}});
  const auto usable = static_cast<std::size_t>(
      std::count_if(legs_.begin(), legs_.end(), [&](const leg& each) {
        return directory_.HasUsable(each.service, now);
      }));
  if (usable < Needed()) {
    return Finish(refused_answer{refusal::kNoUpstream, RetryAfter(now)});
  }
  OnWake(now);
}

void request_run::OnResult(std::uint64_t number, attempt_result result,
                           monotonic_time now) {
  if (done_) return;
  const std::size_t index = LegOf(number);
  if (index == legs_.size()) return;
  leg& own = legs_[index];
  own.in_flight.erase(
      std::find(own.in_flight.begin(), own.in_flight.end(), number));
  switch (result.end) {
    case attempt_end::kAnswered:
      Close(own, leg_state::kAnswered);
      ++answered_;
      for (const std::uint64_t other : own.in_flight) port_.Abandon(other);
      own.in_flight.clear();
      if (fanout_ == nullptr) {
        return Finish(relayed_answer{std::move(result.reply)});
      }
      own.part = std::move(result.reply.body);
      own.signature = std::move(result.reply.signature);
      break;
    case attempt_end::kFailedAnswer:
      failure_ = std::move(result.reply);
      break;
    case attempt_end::kNotRun:
    case attempt_end::kOtherUpstream:
      own.last_refused = true;
      own.ask_again = now + kFirstAskAgain * (1 << own.refusals++);
      --own.possible_runs;
      break;
    case attempt_end::kNotSent:
      --own.possible_runs;
      --own.sent;
      ++own.unreachable;
      break;
    case attempt_end::kBroken:
      break;
  }
  StepLeg(index, now);
  if (done_) return;
  Settle(now);
  if (done_) return;
  const auto wake = WakeOf(own, now);
  if (wake.has_value()) next_wake_ = std::min(next_wake_, *wake);
}

void request_run::OnWake(monotonic_time now) {
  if (done_) return;
  for (std::size_t i = 0; i < legs_.size() && !done_; ++i) StepLeg(i, now);
  if (!done_) Settle(now);
  if (!done_) PlanWake(now);
}

void request_run::StepLeg(std::size_t index, monotonic_time now) {
  leg& own = legs_[index];
  if (own.state != leg_state::kOpen) return;
  if (own.in_flight.empty()) {
    SendOrGiveUp(index, now);
  } else if (now >= own.hedge_at) {
    Hedge(index, now);
  }
}

void request_run::Close(leg& leg, leg_state state) {
  leg.state = state;
  --open_;
}

void request_run::Cancel() {
  if (done_) return;
  AbandonAll();
  done_ = true;
}

run_account request_run::Account() const {
  run_account account;
  account.legs = legs_.size();
  account.answered = answered_;
  account.attempts = last_number_;
  account.hedges = hedges_;
  account.retries = retries_;
  account.denied = denied_;
  account.alone = alone_;
  account.unsent = static_cast<std::size_t>(
      std::count_if(legs_.begin(), legs_.end(), [](const leg& each) {
        return each.sent == 0 && each.state != leg_state::kAnswered;
      }));
  return account;
}

std::size_t request_run::Needed() const {
  if (fanout_ == nullptr) return 1;
  constexpr double kRounding = 1e-9;
  const double least =
      fanout_->minimum_coverage * static_cast<double>(legs_.size());
  return std::max<std::size_t>(
      1, static_cast<std::size_t>(std::ceil(least - kRounding)));
}

// The route bounds how many upstreams are asked, not how often: the last one
// may be asked once more if its answer was lost. In a fan-out one without room
// is asked some times more: the other parts would be lost with this one, and
// the caller would ask all shards anew.
std::size_t request_run::MostAttempts(const leg& leg) const {
  const route& target = *context_.target;
  if (!leg.last_refused)
    return target.max_attempts + (target.idempotent ? 1 : 0);
  return target.max_attempts + (fanout_ != nullptr ? kMostAskedAgain : 0);
}

upstream_pointer request_run::NextUpstream(const leg& leg,
                                           microseconds hedge_delay,
                                           monotonic_time now) {
  if (leg.sent >= context_.target->max_attempts) {
    return directory_.MayAskAgain(leg.last, now) ? leg.last : nullptr;
  }
  const auto suspect_after = std::chrono::duration_cast<microseconds>(
      std::chrono::duration<double, std::micro>(
          kSuspectDelays * static_cast<double>(hedge_delay.count())));
  return directory_.Choose({&leg.service, &leg.asked, suspect_after}, now);
}

bool request_run::TrySend(std::size_t index, monotonic_time now) {
  leg& own = legs_[index];
  if (end_ - now < kLeastAttemptTime) return false;
  const microseconds delay = policy_.HedgeDelay(*context_.target);
  const upstream_pointer chosen = NextUpstream(own, delay, now);
  const bool repeat = own.sent > 0;
  if (chosen == nullptr) {
    if (repeat) ++alone_;
    return false;
  }
  if (repeat && !policy_.TryRepeat(own.service, now)) {
    ++denied_;
    return false;
  }
  own.asked.push_back(chosen->record.id);
  own.last = chosen;
  own.last_refused = false;
  ++own.sent;
  ++own.possible_runs;
  own.hedge_at = now + delay;
  own.latest_hedge = now + attempt_policy::LatestHedgeDelay(*context_.target);
  const std::uint64_t number = ++last_number_;
  leg_of_.push_back(index);
  own.in_flight.push_back(number);
  const auto left = std::chrono::duration_cast<milliseconds>(end_ - now);
  port_.Send({number, index, chosen, left, repeat});
  return true;
}

void request_run::Hedge(std::size_t index, monotonic_time now) {
  leg& own = legs_[index];
  const route& target = *context_.target;
  if (!target.idempotent || own.hedged || own.sent >= target.max_attempts) {
    return;
  }
  if (now < own.latest_hedge && !policy_.HasPlentyRepeats(own.service, now)) {
    own.hedge_at = own.latest_hedge;
    return;
  }
  if (TrySend(index, now)) {
    own.hedged = true;
    ++hedges_;
  } else {
    own.hedge_at = now + kHedgeAgain;
  }
}

void request_run::SendOrGiveUp(std::size_t index, monotonic_time now) {
  leg& own = legs_[index];
  const route& target = *context_.target;
  const bool forbidden = !target.idempotent && own.possible_runs > 0;
  if (forbidden || own.sent >= MostAttempts(own) ||
      own.unreachable >= kMostUnreachable) {
    Close(own, leg_state::kGivenUp);
    return;
  }
  const bool repeat = own.sent > 0;
  const bool same_again = own.last_refused && own.sent >= target.max_attempts;
  if (same_again && now < own.ask_again) return;
  if (TrySend(index, now)) {
    if (repeat) ++retries_;
    return;
  }
  if (own.sent >= target.max_attempts &&
      !directory_.MayAskAgain(own.last, now)) {
    Close(own, leg_state::kGivenUp);
    return;
  }
  if (!own.asked.empty()) {
    // The others cannot be asked: the next try may go to the same one.
    own.asked.clear();
    return;
  }
  if (!WaitsForRoom(own, now)) Close(own, leg_state::kGivenUp);
}

// Once parts have come, giving up would throw them away.
bool request_run::WaitsForRoom(const leg& leg, monotonic_time now) const {
  if (!directory_.HasUsable(leg.service, now)) return false;
  if (answered_ > 0) return true;
  const std::chrono::duration<double> allowed =
      kRoomWaitShare * (settle_ - context_.arrival);
  return now - context_.arrival < allowed;
}

void request_run::Settle(monotonic_time now) {
  const std::size_t needed = Needed();
  if (now >= end_ || open_ == 0 || answered_ + open_ < needed) {
    return FinishEnough(now);
  }
  if (fanout_ != nullptr && now >= settle_ && answered_ >= needed) {
    FinishEnough(now);
  }
}

bool request_run::MayHaveRun() const {
  return std::any_of(legs_.begin(), legs_.end(),
                     [](const leg& each) { return each.possible_runs > 0; });
}

void request_run::FinishEnough(monotonic_time now) {
  if (fanout_ == nullptr || answered_ < Needed()) return FinishFailed(now);
  merged_answer answer;
  std::vector<const std::string*> parts;
  for (const leg& each : legs_) {
    if (each.state != leg_state::kAnswered) {
      ++answer.missing;
      continue;
    }
    answer.signatures.push_back(each.signature);
    parts.push_back(&each.part);
  }
  answer.records = MergeRecords(parts, fanout_->top_records);
  Finish(std::move(answer));
}

void request_run::FinishFailed(monotonic_time now) {
  if (fanout_ == nullptr && failure_.has_value()) {
    return Finish(relayed_answer{std::move(*failure_)});
  }
  if (MayHaveRun()) {
    const bool late = now >= end_;
    return Finish(refused_answer{late ? refusal::kTimedOut : refusal::kFailed,
                                 std::nullopt});
  }
  const refusal cause =
      last_number_ > 0 ? refusal::kAllRefused : refusal::kNoUpstream;
  Finish(refused_answer{cause, RetryAfter(now)});
}

void request_run::Finish(entry_answer answer) {
  AbandonAll();
  done_ = true;
  port_.Finish(std::move(answer));
}

void request_run::AbandonAll() {
  for (leg& each : legs_) {
    for (const std::uint64_t number : each.in_flight) port_.Abandon(number);
    each.in_flight.clear();
  }
}

void request_run::PlanWake(monotonic_time now) {
  next_wake_ = end_;
  if (fanout_ != nullptr && settle_ > now) {
    next_wake_ = std::min(next_wake_, settle_);
  }
  for (const leg& each : legs_) {
    const auto wake = WakeOf(each, now);
    if (wake.has_value()) next_wake_ = std::min(next_wake_, *wake);
  }
}

std::optional<monotonic_time> request_run::WakeOf(const leg& leg,
                                                  monotonic_time now) const {
  const route& target = *context_.target;
  if (leg.state != leg_state::kOpen) return std::nullopt;
  if (leg.in_flight.empty()) return now + kSendAgain;
  const bool may_hedge =
      target.idempotent && !leg.hedged && leg.sent < target.max_attempts;
  if (!may_hedge) return std::nullopt;
  return leg.hedge_at;
}

milliseconds request_run::RetryAfter(monotonic_time now) const {
  milliseconds wait(0);
  for (const leg& each : legs_) {
    wait = std::max(wait, directory_.UsableAfter(each.service, now));
  }
  return wait;
}

std::size_t request_run::LegOf(std::uint64_t number) const {
  if (number == 0 || number > leg_of_.size()) return legs_.size();
  const std::size_t index = leg_of_[number - 1];
  const auto& in_flight = legs_[index].in_flight;
  const bool awaited =
      std::find(in_flight.begin(), in_flight.end(), number) != in_flight.end();
  return awaited ? index : legs_.size();
}

}  // namespace papayaglade
