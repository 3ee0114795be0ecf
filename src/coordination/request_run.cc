#include "coordination/request_run.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "coordination/record_merge.h"

namespace papayaglade {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

// The deadline leaves time for the answer to reach the caller. The latency
// target also includes the transfer of the request before.
constexpr milliseconds kAnswerMargin{10};
constexpr milliseconds kLatencyTargetMargin{8};
constexpr double kLatencyTargetMarginShare = 0.12;
constexpr milliseconds kDefaultTimeout{30000};
// Intervals at which a leg without an upstream, or a hedge that could not be
// sent, is tried again.
constexpr milliseconds kSendRetryInterval{10};
constexpr milliseconds kHedgeRetryInterval{15};
// Share of the time to settle that a request may wait for a connection.
constexpr double kCapacityWaitShare = 0.8;
// An upstream can do nothing in less time, and reads 0 as no limit.
constexpr milliseconds kMinAttemptTime{5};
// An upstream that refused for lack of capacity may soon have some. The wait
// before it is asked again doubles with each refusal.
constexpr std::size_t kMaxRetriesAfterRefusal = 3;
constexpr milliseconds kInitialRefusalBackoff{8};
constexpr std::size_t kMaxUnreachableAttempts = 3;
// Many runs may keep a failure each while they ask other upstreams.
constexpr std::size_t kMaxKeptFailureBytes = 16UL * 1024;
// An upstream is suspect if an attempt has been pending for longer than this
// many hedge delays.
constexpr double kSuspectHedgeDelays = 1.2;

milliseconds AllowedTime(const request_run::context& context) {
  milliseconds allowed = kDefaultTimeout;
  if (context.matched_route->timeout.count() > 0) {
    allowed = std::min(allowed, context.matched_route->timeout);
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
      kLatencyTargetMargin +
      milliseconds(static_cast<std::int64_t>(
          kLatencyTargetMarginShare * static_cast<double>(target.count())));
  return std::min(allowed, target - margin);
}

}  // namespace

request_run::request_run(context context, upstream_directory& directory,
                         attempt_policy& policy, run_port& port)
    : context_(std::move(context)),
      directory_(directory),
      policy_(policy),
      port_(port),
      fanout_(std::get_if<fanout_target>(&context_.matched_route->target)) {
  const milliseconds allowed = AllowedTime(context_);
  deadline_ = context_.arrival + allowed;
  settle_at_ =
      context_.arrival + TimeToSettle(*context_.matched_route, allowed);
  next_timer_ = deadline_;
}

void request_run::Start(monotonic_time now) {
  if (fanout_ != nullptr) {
    for (const std::string& each : fanout_->shards) {
      legs_.emplace_back();
      legs_.back().service = each;
    }
  } else {
    legs_.emplace_back();
    const route_target& target = context_.matched_route->target;
    const auto* weighted = std::get_if<weighted_target>(&target);
    legs_.back().service =
        weighted != nullptr
            ? policy_.NextService(*context_.matched_route, *weighted)
            : std::get<single_target>(target).service;
  }
  open_legs_ = legs_.size();
  for (const leg& each : legs_) policy_.CountRequest(each.service, now);
  if (now >= deadline_) {
    if (is_cut_by_stop_) return FinishFailed(now);
    return Finish(refused_answer{refusal::kExpired, {}});
  }
  const auto usable = static_cast<std::size_t>(
      std::count_if(legs_.begin(), legs_.end(), [&](const leg& each) {
        return directory_.HasUsable(each.service, now);
      }));
  if (usable < RequiredAnswers()) {
    return Finish(refused_answer{refusal::kNoUpstream, RetryAfter(now)});
  }
  OnTimer(now);
}

void request_run::OnResult(std::uint64_t number, attempt_result result,
                           monotonic_time now) {
  if (is_done_) return;
  const std::size_t index = LegIndexOf(number);
  if (index == legs_.size()) return;
  leg& current = legs_[index];
  current.in_flight.erase(
      std::find(current.in_flight.begin(), current.in_flight.end(), number));
  switch (result.end) {
    case attempt_end::kAnswered:
      OnLegAnswered(current);
      if (fanout_ == nullptr) {
        return Finish(relayed_answer{std::move(result.reply)});
      }
      current.part =
          ReducePart(std::move(result.reply.body), fanout_->top_records);
      current.signature = std::move(result.reply.signature);
      break;
    case attempt_end::kFailedAnswer:
      failed_reply_ = std::move(result.reply);
      break;
    case attempt_end::kNotRun:
    case attempt_end::kOtherUpstream:
      current.last_upstream_refused = true;
      current.retry_refused_at =
          now + kInitialRefusalBackoff * (1 << current.refusals++);
      --current.possible_executions;
      break;
    case attempt_end::kNotSent:
      --current.possible_executions;
      --current.attempts_sent;
      ++current.unreachable_attempts;
      break;
    case attempt_end::kBroken:
      break;
  }
  AdvanceLeg(index, now);
  if (is_done_) return;
  FinishIfSettled(now);
  if (is_done_) return;
  if (failed_reply_.has_value() &&
      failed_reply_->body.size() > kMaxKeptFailureBytes) {
    failed_reply_.reset();
  }
  const auto timer = NextTimerOf(current, now);
  if (timer.has_value()) next_timer_ = std::min(next_timer_, *timer);
}

void request_run::OnTimer(monotonic_time now) {
  if (is_done_) return;
  for (std::size_t i = 0; i < legs_.size() && !is_done_; ++i)
    AdvanceLeg(i, now);
  if (!is_done_) FinishIfSettled(now);
  if (!is_done_) ScheduleNextTimer(now);
}

void request_run::AdvanceLeg(std::size_t index, monotonic_time now) {
  leg& current = legs_[index];
  if (current.state != leg_state::kOpen) return;
  if (current.in_flight.empty()) {
    SendOrGiveUp(index, now);
  } else if (now >= current.hedge_at) {
    TryHedge(index, now);
  }
}

void request_run::CloseLeg(leg& leg, leg_state state) {
  if (leg.state == leg_state::kOpen) --open_legs_;
  leg.state = state;
}

void request_run::OnLegAnswered(leg& leg) {
  if (leg.state != leg_state::kAnswered) ++answered_legs_;
  CloseLeg(leg, leg_state::kAnswered);
  for (const std::uint64_t other : leg.in_flight) port_.Abandon(other);
  leg.in_flight.clear();
}

void request_run::OnMergedParts(const std::vector<relay_part>& parts,
                                std::string records, monotonic_time now) {
  if (is_done_ || parts.empty() || !CanTakeMerged(parts)) return;
  for (const relay_part& each : parts) {
    leg& current = legs_[leg_by_attempt_[each.number - 1]];
    auto& in_flight = current.in_flight;
    in_flight.erase(
        std::remove(in_flight.begin(), in_flight.end(), each.number),
        in_flight.end());
    OnLegAnswered(current);
    current.is_merged = true;
    current.signature = each.signature;
    current.part.clear();
  }
  legs_[leg_by_attempt_[parts.front().number - 1]].part = std::move(records);
  FinishIfSettled(now);
}

bool request_run::CanTakeMerged(const std::vector<relay_part>& parts) const {
  std::vector<std::size_t> taken;
  for (const relay_part& each : parts) {
    if (each.number == 0 || each.number > leg_by_attempt_.size()) return false;
    const std::size_t index = leg_by_attempt_[each.number - 1];
    const bool again =
        std::find(taken.begin(), taken.end(), index) != taken.end();
    if (again || legs_[index].is_merged) return false;
    taken.push_back(index);
  }
  return true;
}

void request_run::FinishBy(monotonic_time time) {
  if (is_done_ || time >= deadline_) return;
  is_cut_by_stop_ = true;
  deadline_ = time;
  settle_at_ = std::min(settle_at_, time);
  next_timer_ = std::min(next_timer_, time);
}

void request_run::Cancel() {
  if (is_done_) return;
  is_done_ = true;
  AbandonAll();
}

run_statistics request_run::Statistics() const {
  run_statistics statistics;
  statistics.legs = legs_.size();
  statistics.answered = answered_legs_;
  statistics.attempts = last_attempt_number_;
  statistics.hedges = hedges_;
  statistics.retries = retries_;
  statistics.denied_repeats = denied_repeats_;
  statistics.repeats_without_upstream = repeats_without_upstream_;
  statistics.unsent_legs = static_cast<std::size_t>(
      std::count_if(legs_.begin(), legs_.end(), [](const leg& each) {
        return each.attempts_sent == 0 && each.state != leg_state::kAnswered;
      }));
  return statistics;
}

std::vector<request_run::open_leg> request_run::OpenLegs() const {
  std::vector<open_leg> open;
  for (const leg& each : legs_) {
    if (each.state != leg_state::kOpen) continue;
    open.push_back({each.service, "", each.in_flight});
    if (each.in_flight.empty()) continue;
    open.back().upstream = each.last_upstream->record.id;
  }
  return open;
}

std::size_t request_run::RequiredAnswers() const {
  if (fanout_ == nullptr) return 1;
  constexpr double kRounding = 1e-9;
  const double minimum =
      fanout_->minimum_coverage * static_cast<double>(legs_.size());
  return std::max<std::size_t>(
      1, static_cast<std::size_t>(std::ceil(minimum - kRounding)));
}

// The route's max_attempts bounds how many upstreams are asked, not how often.
// The last upstream may be asked once more if its answer was lost. In a
// fan-out, an upstream without capacity is asked a few more times: if this
// shard failed, the parts of the others would be lost and the caller would ask
// all shards again.
std::size_t request_run::MaxAttempts(const leg& leg) const {
  const route& matched_route = *context_.matched_route;
  if (!leg.last_upstream_refused)
    return matched_route.max_attempts + (matched_route.idempotent ? 1 : 0);
  return matched_route.max_attempts +
         (fanout_ != nullptr ? kMaxRetriesAfterRefusal : 0);
}

upstream_pointer request_run::NextUpstream(const leg& leg,
                                           microseconds hedge_delay,
                                           monotonic_time now) {
  if (leg.attempts_sent >= context_.matched_route->max_attempts) {
    return directory_.CanRetry(leg.last_upstream, now) ? leg.last_upstream
                                                       : nullptr;
  }
  const auto suspect_after = std::chrono::duration_cast<microseconds>(
      std::chrono::duration<double, std::micro>(
          kSuspectHedgeDelays * static_cast<double>(hedge_delay.count())));
  return directory_.Choose({&leg.service, &leg.tried_upstreams, suspect_after},
                           now);
}

bool request_run::TrySend(std::size_t index, monotonic_time now) {
  leg& current = legs_[index];
  if (deadline_ - now < kMinAttemptTime) return false;
  const microseconds delay = policy_.HedgeDelay(*context_.matched_route);
  const upstream_pointer chosen = NextUpstream(current, delay, now);
  const bool is_repeat = current.attempts_sent > 0;
  if (chosen == nullptr) {
    if (is_repeat) ++repeats_without_upstream_;
    return false;
  }
  if (is_repeat && !policy_.TryRepeat(current.service, now)) {
    ++denied_repeats_;
    return false;
  }
  current.tried_upstreams.push_back(chosen->record.id);
  current.last_upstream = chosen;
  current.last_upstream_refused = false;
  ++current.attempts_sent;
  ++current.possible_executions;
  current.hedge_at = now + delay;
  current.latest_hedge_at =
      now + attempt_policy::MaxHedgeDelay(*context_.matched_route);
  const std::uint64_t number = ++last_attempt_number_;
  leg_by_attempt_.push_back(index);
  current.in_flight.push_back(number);
  const auto left = std::chrono::duration_cast<milliseconds>(deadline_ - now);
  port_.Send({number, index, chosen, left, is_repeat});
  return true;
}

void request_run::TryHedge(std::size_t index, monotonic_time now) {
  leg& current = legs_[index];
  const route& matched_route = *context_.matched_route;
  if (!matched_route.idempotent || current.hedged ||
      current.attempts_sent >= matched_route.max_attempts) {
    return;
  }
  if (now < current.latest_hedge_at &&
      !policy_.HasAmpleRepeats(current.service, now)) {
    current.hedge_at = current.latest_hedge_at;
    return;
  }
  if (TrySend(index, now)) {
    current.hedged = true;
    ++hedges_;
  } else {
    current.hedge_at = now + kHedgeRetryInterval;
  }
}

void request_run::SendOrGiveUp(std::size_t index, monotonic_time now) {
  leg& current = legs_[index];
  const route& matched_route = *context_.matched_route;
  const bool must_not_repeat =
      !matched_route.idempotent && current.possible_executions > 0;
  if (must_not_repeat || current.attempts_sent >= MaxAttempts(current) ||
      current.unreachable_attempts >= kMaxUnreachableAttempts) {
    CloseLeg(current, leg_state::kGivenUp);
    return;
  }
  const bool is_repeat = current.attempts_sent > 0;
  const bool retries_refused =
      current.last_upstream_refused &&
      current.attempts_sent >= matched_route.max_attempts;
  if (retries_refused && now < current.retry_refused_at) return;
  if (TrySend(index, now)) {
    if (is_repeat) ++retries_;
    return;
  }
  if (current.attempts_sent >= matched_route.max_attempts &&
      !directory_.CanRetry(current.last_upstream, now)) {
    CloseLeg(current, leg_state::kGivenUp);
    return;
  }
  const bool may_go_on = current.tried_upstreams.empty()
                             ? MayWaitForCapacity(current, now)
                             : directory_.HasUsable(current.service, now);
  if (!may_go_on) {
    CloseLeg(current, leg_state::kGivenUp);
    return;
  }
  // No other upstream can be asked, so the next attempt may go to any of them
  // again.
  current.tried_upstreams.clear();
}

// A run that has parts keeps waiting, because giving up would discard them.
bool request_run::MayWaitForCapacity(const leg& leg, monotonic_time now) const {
  if (!directory_.HasUsable(leg.service, now)) return false;
  if (answered_legs_ > 0) return true;
  const std::chrono::duration<double> allowed =
      kCapacityWaitShare * (settle_at_ - context_.arrival);
  return now - context_.arrival < allowed;
}

void request_run::FinishIfSettled(monotonic_time now) {
  const std::size_t required = RequiredAnswers();
  if (now >= deadline_ || open_legs_ == 0 ||
      answered_legs_ + open_legs_ < required) {
    return FinishMergedOrFailed(now);
  }
  if (fanout_ != nullptr && now >= settle_at_ && answered_legs_ >= required) {
    FinishMergedOrFailed(now);
  }
}

bool request_run::MayHaveRun() const {
  return std::any_of(legs_.begin(), legs_.end(), [](const leg& each) {
    return each.possible_executions > 0;
  });
}

void request_run::FinishMergedOrFailed(monotonic_time now) {
  if (fanout_ == nullptr || answered_legs_ < RequiredAnswers())
    return FinishFailed(now);
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
  if (fanout_ == nullptr && failed_reply_.has_value()) {
    return Finish(relayed_answer{std::move(*failed_reply_)});
  }
  const bool timed_out = now >= deadline_;
  if (MayHaveRun()) {
    const refusal late =
        is_cut_by_stop_ ? refusal::kStopped : refusal::kTimedOut;
    return Finish(
        refused_answer{timed_out ? late : refusal::kFailed, std::nullopt});
  }
  if (timed_out && is_cut_by_stop_) {
    return Finish(refused_answer{refusal::kStopping, milliseconds(0)});
  }
  const refusal cause =
      last_attempt_number_ > 0 ? refusal::kAllRefused : refusal::kNoUpstream;
  Finish(refused_answer{cause, RetryAfter(now)});
}

// The port may report results while attempts are abandoned.
void request_run::Finish(entry_answer answer) {
  is_done_ = true;
  AbandonAll();
  port_.Finish(std::move(answer));
}

void request_run::AbandonAll() {
  for (leg& each : legs_) {
    for (const std::uint64_t number : each.in_flight) port_.Abandon(number);
    each.in_flight.clear();
  }
}

void request_run::ScheduleNextTimer(monotonic_time now) {
  next_timer_ = deadline_;
  if (fanout_ != nullptr && settle_at_ > now) {
    next_timer_ = std::min(next_timer_, settle_at_);
  }
  for (const leg& each : legs_) {
    const auto timer = NextTimerOf(each, now);
    if (timer.has_value()) next_timer_ = std::min(next_timer_, *timer);
  }
}

std::optional<monotonic_time> request_run::NextTimerOf(
    const leg& leg, monotonic_time now) const {
  const route& matched_route = *context_.matched_route;
  if (leg.state != leg_state::kOpen) return std::nullopt;
  if (leg.in_flight.empty()) return now + kSendRetryInterval;
  const bool may_hedge = matched_route.idempotent && !leg.hedged &&
                         leg.attempts_sent < matched_route.max_attempts;
  if (!may_hedge) return std::nullopt;
  return leg.hedge_at;
}

milliseconds request_run::RetryAfter(monotonic_time now) const {
  std::vector<milliseconds> waits;
  for (const leg& each : legs_) {
    waits.push_back(directory_.TimeUntilUsable(each.service, now));
  }
  // The request can run once as many legs can as it needs.
  const auto last =
      waits.begin() + static_cast<std::ptrdiff_t>(RequiredAnswers() - 1);
  std::nth_element(waits.begin(), last, waits.end());
  return *last;
}

std::size_t request_run::LegIndexOf(std::uint64_t number) const {
  if (number == 0 || number > leg_by_attempt_.size()) return legs_.size();
  const std::size_t index = leg_by_attempt_[number - 1];
  const auto& in_flight = legs_[index].in_flight;
  const bool is_in_flight =
      std::find(in_flight.begin(), in_flight.end(), number) != in_flight.end();
  return is_in_flight ? index : legs_.size();
}

}  // namespace papayaglade
