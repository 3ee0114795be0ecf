#include "coordination/query_run.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "coordination/merge.h"

namespace papayaglade {

namespace {

using std::chrono::microseconds;

constexpr int kMaxAttemptsPerShard = 4;
constexpr int kMaxHedgesPerShard = 2;
constexpr int kMaxRestarts = 2;
constexpr double kTypicalPercentile = 0.5;
constexpr microseconds kMinHedgeRetryDelay{1000};
constexpr int kHedgeRetryDivisor = 4;

microseconds Elapsed(monotonic_time start, monotonic_time end) {
  return std::chrono::duration_cast<microseconds>(end - start);
}

}  // namespace

query_run::query_run(query_spec spec, query_context& context,
                     workload_state& shared)
    : spec_(std::move(spec)),
      context_(context),
      workload_state_(shared),
      rule_(spec_.route.work->coverage, spec_.request.minimum_coverage,
            spec_.start, spec_.deadline),
      last_timer_at_(spec_.start) {}

void query_run::Start(monotonic_time now) {
  pinned_plan_ =
      context_.snapshots.Choose(*spec_.route.plan, rule_.Minimum(), now);
  if (pinned_plan_ == nullptr || pinned_plan_->shards.empty()) {
    is_settled_ = true;
    outcome_ = not_run{NoSnapshotError(), MakeAccount()};
    return;
  }
  const std::size_t asked = AskAllShards(now);
  workload_state_.extra_load.EarnFor(asked);
  workload_state_.reroute_budget.EarnFor(asked);
  counts_.first_attempts = asked;
  SettleIfDone(now);
}

void query_run::OnResult(shard_result& result, monotonic_time now) {
  const std::size_t ordinal = OrdinalOfAttempt(result.attempt_id);
  if (is_settled_ || ordinal >= attempts_.size()) return;
  // Closed attempts were answered, cancelled or given up before.
  if (!attempts_[ordinal].is_open) return;
  attempts_[ordinal].is_open = false;
  const attempt ended = attempts_[ordinal];
  --shards_[ended.shard].outstanding;
  const bool matches = result.snapshot == pinned_plan_->snapshot;
  if (result.status == shard_status::kAnswered && matches) {
    context_.replicas.RecordAnswer(ended.upstream, Elapsed(ended.sent_at, now));
    OnAnswer(ended, result, now);
    return SettleIfDone(now);
  }
  context_.replicas.RecordEnd(ended.upstream);
  switch (result.status) {
    case shard_status::kAnswered:
    case shard_status::kSnapshotGone:
      OnMissingSnapshot(ended, result, now);
      break;
    case shard_status::kNotRun:
      OnRefusal(ended, result.reason, now);
      break;
    case shard_status::kLost:
      OnLoss(ended, result.reason, now);
      break;
  }
  SettleIfDone(now);
}

void query_run::OnStewardDown(std::uint32_t steward, monotonic_time now) {
  if (is_settled_) return;
  for (std::size_t i = first_pinned_attempt_; i < attempts_.size(); ++i) {
    if (!attempts_[i].is_open || attempts_[i].steward != steward) continue;
    attempts_[i].is_open = false;
    const attempt ended = attempts_[i];
    --shards_[ended.shard].outstanding;
    context_.replicas.RecordEnd(ended.upstream);
    OnLoss(ended, shard_reason::kPeerUnreachable, now);
  }
  SettleIfDone(now);
}

void query_run::OnRoutes(monotonic_time now) {
  if (is_settled_) return;
  for (std::size_t i = 0; i < shards_.size(); ++i) {
    shard_progress& shard = shards_[i];
    if (shard.phase != shard_phase::kWaiting) continue;
    if (!LastStewardChanged(shard)) continue;
    shard.tried.pop_back();
    if (TryRetry(i, workload_state_.reroute_budget, now))
      shard.phase = shard_phase::kOpen;
  }
}

void query_run::OnTimer(monotonic_time now) {
  last_timer_at_ = now;
  if (is_settled_) return;
  if (next_hedge_at_.has_value() && now >= *next_hedge_at_) SendHedges(now);
  SettleIfDone(now);
}

void query_run::Flush(monotonic_time now, query_actions& out) {
  const std::uint64_t snapshot =
      pinned_plan_ == nullptr ? 0 : pinned_plan_->snapshot;
  outbox_.Flush(spec_, snapshot, context_, rule_.AnswerBy(), now, out);
  if (!outcome_.has_value()) return;
  out.emplace_back(settle_request{std::move(*outcome_), counts_,
                                  spec_.route.work->priority});
  outcome_.reset();
}

monotonic_time query_run::NextTimer() const {
  monotonic_time due = rule_.AnswerBy();
  if (rule_.SettleFrom() > last_timer_at_)
    due = std::min(due, rule_.SettleFrom());
  if (next_hedge_at_.has_value()) due = std::min(due, *next_hedge_at_);
  return due;
}

std::size_t query_run::AskAllShards(monotonic_time now) {
  shards_.assign(pinned_plan_->shards.size(), shard_progress());
  hits_.clear();
  answered_shards_ = 0;
  unfinished_shards_ = shards_.size();
  shards_without_snapshot_ = 0;
  began_at_ = now;
  first_pinned_attempt_ = attempts_.size();
  attempts_.reserve(first_pinned_attempt_ + shards_.size());
  next_hedge_at_.reset();
  if (spec_.route.work->hedging) {
    hedge_delay_ =
        workload_state_.latencies.Delay(spec_.route.work->hedge_percentile);
  }
  for (std::size_t i = 0; i < shards_.size(); ++i) {
    const replica_pick pick = PickReplica(i, now);
    if (pick.upstream.has_value()) {
      AskUpstream(i, *pick.upstream, now);
    } else {
      CloseShard(i, shard_outcome::kNotAsked, pick.reason, now);
    }
  }
  return attempts_.size() - first_pinned_attempt_;
}

replica_pick query_run::PickReplica(std::size_t shard, monotonic_time now) {
  if (attempts_.size() >= kMaxAttempts) {
    return {std::nullopt, shard_reason::kQueueFull};
  }
  return ChooseReplica(pinned_plan_->shards[shard].replicas,
                       shards_[shard].tried, pinned_plan_->snapshot, context_,
                       now);
}

void query_run::AskUpstream(std::size_t shard, std::uint32_t upstream,
                            monotonic_time now) {
  const std::uint64_t id = (spec_.number << kAttemptBits) |
                           static_cast<std::uint64_t>(attempts_.size());
  const std::uint32_t steward = context_.routes->RouteOf(upstream).steward;
  shard_progress& state = shards_[shard];
  if (state.attempts == 0) state.first_sent_at = now;
  state.tried.push_back(upstream);
  state.last_attempt = attempts_.size();
  ++state.attempts;
  ++state.outstanding;
  attempts_.push_back(
      {static_cast<std::uint32_t>(shard), upstream, steward, now, true});
  context_.replicas.RecordSent(upstream);
  outbox_.Send(steward, {id, pinned_plan_->shards[shard].shard,
                         context_.upstreams.NameOf(upstream)});
  if (!hedge_delay_.has_value()) return;
  const monotonic_time due = now + *hedge_delay_;
  next_hedge_at_ = std::min(next_hedge_at_.value_or(due), due);
}

bool query_run::TryRetry(std::size_t shard, retry_budget& budget,
                         monotonic_time now) {
  if (now >= rule_.AnswerBy()) return false;
  if (shards_[shard].attempts >= kMaxAttemptsPerShard) return false;
  const replica_pick pick = PickReplica(shard, now);
  if (!pick.upstream.has_value() || !budget.TryTake()) return false;
  ++counts_.retries;
  AskUpstream(shard, *pick.upstream, now);
  return true;
}

void query_run::CancelAttempt(std::size_t ordinal, monotonic_time now) {
  attempt& cancelled = attempts_[ordinal];
  cancelled.is_open = false;
  --shards_[cancelled.shard].outstanding;
  context_.replicas.RecordEnd(cancelled.upstream);
  outbox_.Cancel(cancelled.steward, (spec_.number << kAttemptBits) | ordinal);
  // Attempts cancelled after a hedge count as samples. Without them the
  // estimate would follow the fast answers down, and hedges would start earlier
  // and earlier.
  const microseconds waited = Elapsed(cancelled.sent_at, now);
  if (hedge_delay_.has_value() && waited >= *hedge_delay_) {
    workload_state_.latencies.AddSample(waited);
  }
}

void query_run::CancelAllAttempts(monotonic_time now) {
  for (std::size_t i = first_pinned_attempt_; i < attempts_.size(); ++i) {
    if (attempts_[i].is_open) CancelAttempt(i, now);
  }
}

void query_run::CancelShardAttempts(std::size_t shard, monotonic_time now) {
  for (std::size_t i = first_pinned_attempt_; i < attempts_.size(); ++i) {
    if (attempts_[i].is_open && attempts_[i].shard == shard)
      CancelAttempt(i, now);
  }
}

void query_run::OnAnswer(const attempt& ended, shard_result& result,
                         monotonic_time now) {
  shard_progress& shard = shards_[ended.shard];
  if (shard.outstanding > 0) CancelShardAttempts(ended.shard, now);
  workload_state_.latencies.AddSample(Elapsed(ended.sent_at, now));
  context_.snapshots.RecordHeld(ended.upstream, result.snapshot);
  shard.phase = shard_phase::kAnswered;
  shard.answered_by = ended.upstream;
  shard.ended_at = now;
  ++answered_shards_;
  --unfinished_shards_;
  std::move(result.hits.begin(), result.hits.end(), std::back_inserter(hits_));
}

void query_run::OnRefusal(const attempt& ended, shard_reason reason,
                          monotonic_time now) {
  context_.replicas.RecordRefusal(ended.upstream, reason, now);
  shard_progress& shard = shards_[ended.shard];
  if (shard.outstanding > 0) return;
  const bool moved =
      reason == shard_reason::kNotSteward && LastStewardChanged(shard);
  if (moved) shard.tried.pop_back();
  const bool reached_upstream = reason == shard_reason::kUpstreamRefused;
  retry_budget& budget = reached_upstream ? workload_state_.extra_load
                                          : workload_state_.reroute_budget;
  if (TryRetry(ended.shard, budget, now)) return;
  // Waits for the roster that names the new steward.
  if (reason == shard_reason::kNotSteward && !shard.tried.empty()) {
    shard.phase = shard_phase::kWaiting;
    shard.reason = reason;
    return;
  }
  CloseShard(ended.shard, shard_outcome::kRefused, reason, now);
}

void query_run::OnLoss(const attempt& ended, shard_reason reason,
                       monotonic_time now) {
  shard_progress& shard = shards_[ended.shard];
  shard.may_have_run = true;
  if (shard.outstanding > 0) return;
  if (TryRetry(ended.shard, workload_state_.extra_load, now)) return;
  CloseShard(ended.shard, shard_outcome::kLost, reason, now);
}

void query_run::OnMissingSnapshot(const attempt& ended,
                                  const shard_result& result,
                                  monotonic_time now) {
  context_.snapshots.RecordMissing(ended.upstream, pinned_plan_->snapshot,
                                   result.snapshots_held, now);
  if (shards_[ended.shard].outstanding > 0) return;
  if (TryRetry(ended.shard, workload_state_.reroute_budget, now)) return;
  CloseShard(ended.shard, shard_outcome::kRefused, shard_reason::kSnapshotGone,
             now);
}

bool query_run::LastStewardChanged(const shard_progress& shard) const {
  if (shard.tried.empty()) return false;
  const std::uint32_t now =
      context_.routes->RouteOf(shard.tried.back()).steward;
  return now != kNoStewardNumber &&
         now != attempts_[shard.last_attempt].steward;
}

void query_run::CloseShard(std::size_t shard, shard_outcome outcome,
                           shard_reason reason, monotonic_time now) {
  shard_progress& state = shards_[shard];
  state.phase = shard_phase::kFailed;
  state.outcome = outcome;
  state.reason = reason;
  state.ended_at = now;
  --unfinished_shards_;
  if (reason == shard_reason::kSnapshotGone) ++shards_without_snapshot_;
}

// In a wide query, one in a hundred hedges of stragglers is slow too, so the
// last hedge may go to a replica that was asked before.
replica_pick query_run::PickHedgeReplica(std::size_t shard,
                                         monotonic_time now) {
  const replica_pick untried = PickReplica(shard, now);
  if (untried.upstream.has_value() || shards_[shard].hedges == 0) {
    return untried;
  }
  return ChooseReplica(pinned_plan_->shards[shard].replicas,
                       {shards_[shard].tried.back()}, pinned_plan_->snapshot,
                       context_, now);
}

void query_run::SendHedges(monotonic_time now) {
  next_hedge_at_.reset();
  const auto plan = [this](monotonic_time due) {
    next_hedge_at_ = std::min(next_hedge_at_.value_or(due), due);
  };
  for (std::size_t i = 0; i < shards_.size(); ++i) {
    shard_progress& shard = shards_[i];
    const bool may_hedge = shard.phase == shard_phase::kOpen &&
                           shard.hedges < kMaxHedgesPerShard &&
                           shard.attempts < kMaxAttemptsPerShard;
    if (!may_hedge) continue;
    const monotonic_time due =
        attempts_[shard.last_attempt].sent_at + *hedge_delay_;
    if (due > now) {
      plan(due);
      continue;
    }
    const replica_pick pick = PickHedgeReplica(i, now);
    if (!pick.upstream.has_value()) {
      shard.hedges = kMaxHedgesPerShard;
      continue;
    }
    if (!workload_state_.extra_load.TryTake()) {
      const monotonic_time::duration delay = *hedge_delay_ / kHedgeRetryDivisor;
      return plan(
          now + std::max<monotonic_time::duration>(delay, kMinHedgeRetryDelay));
    }
    ++shard.hedges;
    ++counts_.hedges;
    AskUpstream(i, *pick.upstream, now);
  }
}

bool query_run::TryRestart(monotonic_time now) {
  if (shards_without_snapshot_ == 0 || counts_.restarts >= kMaxRestarts)
    return false;
  const workload_route newest =
      context_.routes->FindWorkload(spec_.request.workload);
  if (newest.plan == nullptr) return false;
  const auto plan = context_.snapshots.ChooseBetter(*newest.plan, *pinned_plan_,
                                                    rule_.Minimum(), now);
  if (plan == nullptr) return false;
  const microseconds typical =
      workload_state_.latencies.Percentile(kTypicalPercentile)
          .value_or(Elapsed(began_at_, now));
  if (now + typical >= rule_.AnswerBy()) return false;
  CancelAllAttempts(now);
  pinned_plan_ = plan;
  ++counts_.restarts;
  counts_.retries += static_cast<int>(AskAllShards(now));
  return true;
}

void query_run::SettleIfDone(monotonic_time now) {
  if (is_settled_) return;
  while (TryRestart(now)) {
  }
  const bool final = unfinished_shards_ == 0;
  if (!final && !rule_.MaySettle(answered_shards_, shards_.size(), now)) return;
  Settle(now);
}

void query_run::Settle(monotonic_time now) {
  bool may_have_run = answered_shards_ > 0;
  for (std::size_t i = 0; i < shards_.size(); ++i) {
    shard_progress& shard = shards_[i];
    may_have_run |= shard.may_have_run || shard.outstanding > 0;
    if (shard.phase == shard_phase::kOpen) {
      CloseShard(i, shard_outcome::kLate,
                 now >= rule_.AnswerBy() ? shard_reason::kDeadline
                                         : shard_reason::kCancelled,
                 now);
    } else if (shard.phase == shard_phase::kWaiting) {
      CloseShard(i, shard_outcome::kRefused, shard.reason, now);
    }
  }
  CancelAllAttempts(now);
  is_settled_ = true;
  account details = MakeAccount();
  if (rule_.CoversMinimum(answered_shards_, shards_.size())) {
    outcome_ = answered{MergeHits(std::move(hits_), spec_.route.work->results),
                        std::move(details)};
    return;
  }
  outcome_ =
      ShortfallOutcome(std::move(details), rule_.Minimum(), may_have_run);
}

account query_run::MakeAccount() const {
  account details;
  details.request_id = spec_.request.request_id;
  details.workload = spec_.request.workload;
  details.retries = counts_.retries;
  details.hedges = counts_.hedges;
  details.restarts = counts_.restarts;
  if (pinned_plan_ == nullptr) return details;
  details.snapshot = pinned_plan_->snapshot;
  details.coverage = ShareOf(answered_shards_, shards_.size());
  details.shards.reserve(shards_.size());
  for (std::size_t i = 0; i < shards_.size(); ++i) {
    const shard_progress& shard = shards_[i];
    const bool asked = shard.attempts > 0;
    const std::uint32_t last = shard.phase == shard_phase::kAnswered
                                   ? shard.answered_by
                               : asked ? attempts_[shard.last_attempt].upstream
                                       : 0;
    details.shards.push_back(MakeShardAccount(
        pinned_plan_->shards[i].shard, shard,
        asked ? context_.upstreams.NameOf(last) : std::string()));
  }
  return details;
}

}  // namespace papayaglade
