#include "coordination/query_run.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "coordination/merge.h"

namespace papayaglade {

namespace {

using std::chrono::microseconds;

constexpr int kMostAttemptsPerShard = 4;
constexpr int kMostHedgesPerShard = 2;
constexpr int kMostRestarts = 2;
constexpr double kTypicalShare = 0.5;
constexpr microseconds kLeastHedgePause{1000};
constexpr int kHedgePauseDivisor = 4;

microseconds Between(monotonic_time start, monotonic_time end) {
  return std::chrono::duration_cast<microseconds>(end - start);
}

}  // namespace

query_run::query_run(query_spec spec, query_context& context,
                     workload_state& learnt)
    : spec_(std::move(spec)),
      context_(context),
      learnt_(learnt),
      rule_(spec_.route.work->coverage, spec_.request.minimum_coverage,
            spec_.start, spec_.deadline),
      last_now_(spec_.start) {}

void query_run::Start(monotonic_time now) {
  pinned_ = context_.snapshots.Choose(*spec_.route.plan, rule_.Minimum(), now);
  if (pinned_ == nullptr || pinned_->shards.empty()) {
    settled_ = true;
    outcome_ = not_run{NoSnapshotError(), MakeAccount()};
    return;
  }
  const std::size_t asked = Begin(now);
  learnt_.extra_load.EarnFor(asked);
  learnt_.reroutes.EarnFor(asked);
  counts_.first_attempts = asked;
  Judge(now);
}

void query_run::OnResult(shard_result& result, monotonic_time now) {
  const std::size_t ordinal = OrdinalOfAttempt(result.attempt_id);
  if (settled_ || ordinal >= attempts_.size()) return;
  // Closed attempts were answered, withdrawn or given up before.
  if (!attempts_[ordinal].open) return;
  attempts_[ordinal].open = false;
  const attempt ended = attempts_[ordinal];
  --shards_[ended.shard].outstanding;
  const bool matches = result.snapshot == pinned_->snapshot;
  if (result.status == shard_status::kAnswered && matches) {
    context_.replicas.Answered(ended.upstream, Between(ended.sent, now));
    OnAnswer(ended, result, now);
    return Judge(now);
  }
  context_.replicas.Ended(ended.upstream);
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
  Judge(now);
}

void query_run::OnStewardDown(std::uint32_t steward, monotonic_time now) {
  if (settled_) return;
  for (std::size_t i = first_of_pinned_; i < attempts_.size(); ++i) {
    if (!attempts_[i].open || attempts_[i].steward != steward) continue;
    attempts_[i].open = false;
    const attempt ended = attempts_[i];
    --shards_[ended.shard].outstanding;
    context_.replicas.Ended(ended.upstream);
    OnLoss(ended, shard_reason::kPeerUnreachable, now);
  }
  Judge(now);
}

void query_run::OnRoutes(monotonic_time now) {
  if (settled_) return;
  for (std::size_t i = 0; i < shards_.size(); ++i) {
    shard_progress& shard = shards_[i];
    if (shard.phase != shard_phase::kWaiting) continue;
    if (!LastStewardChanged(shard)) continue;
    shard.tried.pop_back();
    if (AskAgain(i, learnt_.reroutes, now)) shard.phase = shard_phase::kOpen;
  }
}

void query_run::OnTime(monotonic_time now) {
  last_now_ = now;
  if (settled_) return;
  if (next_hedge_.has_value() && now >= *next_hedge_) Hedge(now);
  Judge(now);
}

void query_run::Flush(monotonic_time now, query_actions& out) {
  const std::uint64_t snapshot = pinned_ == nullptr ? 0 : pinned_->snapshot;
  outbox_.Flush(spec_, snapshot, context_, rule_.AnswerBy(), now, out);
  if (!outcome_.has_value()) return;
  out.emplace_back(settle_request{std::move(*outcome_), counts_,
                                  spec_.route.work->priority});
  outcome_.reset();
}

monotonic_time query_run::NextDue() const {
  monotonic_time due = rule_.AnswerBy();
  if (rule_.SettleFrom() > last_now_) due = std::min(due, rule_.SettleFrom());
  if (next_hedge_.has_value()) due = std::min(due, *next_hedge_);
  return due;
}

std::size_t query_run::Begin(monotonic_time now) {
  shards_.assign(pinned_->shards.size(), shard_progress());
  hits_.clear();
  answered_ = 0;
  unfinished_ = shards_.size();
  missing_ = 0;
  began_ = now;
  first_of_pinned_ = attempts_.size();
  attempts_.reserve(first_of_pinned_ + shards_.size());
  next_hedge_.reset();
  if (spec_.route.work->hedging) {
    hedge_delay_ = learnt_.times.Delay(spec_.route.work->hedge_percentile);
  }
  for (std::size_t i = 0; i < shards_.size(); ++i) {
    const replica_pick pick = Pick(i, now);
    if (pick.upstream.has_value()) {
      Ask(i, *pick.upstream, now);
    } else {
      Close(i, shard_outcome::kNotAsked, pick.reason, now);
    }
  }
  return attempts_.size() - first_of_pinned_;
}

replica_pick query_run::Pick(std::size_t shard, monotonic_time now) {
  if (attempts_.size() >= kMostAttempts) {
    return {std::nullopt, shard_reason::kQueueFull};
  }
  return ChooseReplica(pinned_->shards[shard].replicas, shards_[shard].tried,
                       pinned_->snapshot, context_, now);
}

void query_run::Ask(std::size_t shard, std::uint32_t upstream,
                    monotonic_time now) {
  const std::uint64_t id = (spec_.number << kAttemptBits) |
                           static_cast<std::uint64_t>(attempts_.size());
  const std::uint32_t steward = context_.routes->RouteOf(upstream).steward;
  shard_progress& state = shards_[shard];
  if (state.attempts == 0) state.first_sent = now;
  state.tried.push_back(upstream);
  state.last_attempt = attempts_.size();
  ++state.attempts;
  ++state.outstanding;
  attempts_.push_back(
      {static_cast<std::uint32_t>(shard), upstream, steward, now, true});
  context_.replicas.Sent(upstream);
  outbox_.Send(steward, {id, pinned_->shards[shard].shard,
                         context_.upstreams.NameOf(upstream)});
  if (!hedge_delay_.has_value()) return;
  const monotonic_time due = now + *hedge_delay_;
  next_hedge_ = std::min(next_hedge_.value_or(due), due);
}

bool query_run::AskAgain(std::size_t shard, retry_budget& budget,
                         monotonic_time now) {
  if (now >= rule_.AnswerBy()) return false;
  if (shards_[shard].attempts >= kMostAttemptsPerShard) return false;
  const replica_pick pick = Pick(shard, now);
  if (!pick.upstream.has_value() || !budget.TryTake()) return false;
  ++counts_.retries;
  Ask(shard, *pick.upstream, now);
  return true;
}

void query_run::Withdraw(std::size_t ordinal, monotonic_time now) {
  attempt& withdrawn = attempts_[ordinal];
  withdrawn.open = false;
  --shards_[withdrawn.shard].outstanding;
  context_.replicas.Ended(withdrawn.upstream);
  outbox_.Cancel(withdrawn.steward, (spec_.number << kAttemptBits) | ordinal);
  // Without the stragglers that hedges cut short, the estimate would follow
  // the fast answers down and hedge ever earlier.
  const microseconds waited = Between(withdrawn.sent, now);
  if (hedge_delay_.has_value() && waited >= *hedge_delay_) {
    learnt_.times.Learn(waited);
  }
}

void query_run::WithdrawAll(monotonic_time now) {
  for (std::size_t i = first_of_pinned_; i < attempts_.size(); ++i) {
    if (attempts_[i].open) Withdraw(i, now);
  }
}

void query_run::WithdrawShard(std::size_t shard, monotonic_time now) {
  for (std::size_t i = first_of_pinned_; i < attempts_.size(); ++i) {
    if (attempts_[i].open && attempts_[i].shard == shard) Withdraw(i, now);
  }
}

void query_run::OnAnswer(const attempt& ended, shard_result& result,
                         monotonic_time now) {
  shard_progress& shard = shards_[ended.shard];
  if (shard.outstanding > 0) WithdrawShard(ended.shard, now);
  learnt_.times.Learn(Between(ended.sent, now));
  context_.snapshots.LearnHeld(ended.upstream, result.snapshot);
  shard.phase = shard_phase::kAnswered;
  shard.answered_by = ended.upstream;
  shard.ended = now;
  ++answered_;
  --unfinished_;
  std::move(result.hits.begin(), result.hits.end(), std::back_inserter(hits_));
}

void query_run::OnRefusal(const attempt& ended, shard_reason reason,
                          monotonic_time now) {
  context_.replicas.Refused(ended.upstream, reason, now);
  shard_progress& shard = shards_[ended.shard];
  if (shard.outstanding > 0) return;
  const bool moved =
      reason == shard_reason::kNotSteward && LastStewardChanged(shard);
  if (moved) shard.tried.pop_back();
  const bool reached_upstream = reason == shard_reason::kUpstreamRefused;
  retry_budget& budget =
      reached_upstream ? learnt_.extra_load : learnt_.reroutes;
  if (AskAgain(ended.shard, budget, now)) return;
  // The roster that names the new steward is on its way.
  if (reason == shard_reason::kNotSteward && !shard.tried.empty()) {
    shard.phase = shard_phase::kWaiting;
    shard.reason = reason;
    return;
  }
  Close(ended.shard, shard_outcome::kRefused, reason, now);
}

void query_run::OnLoss(const attempt& ended, shard_reason reason,
                       monotonic_time now) {
  shard_progress& shard = shards_[ended.shard];
  shard.may_have_run = true;
  if (shard.outstanding > 0) return;
  if (AskAgain(ended.shard, learnt_.extra_load, now)) return;
  Close(ended.shard, shard_outcome::kLost, reason, now);
}

void query_run::OnMissingSnapshot(const attempt& ended,
                                  const shard_result& result,
                                  monotonic_time now) {
  context_.snapshots.LearnMissing(ended.upstream, pinned_->snapshot,
                                  result.snapshots_held, now);
  if (shards_[ended.shard].outstanding > 0) return;
  if (AskAgain(ended.shard, learnt_.reroutes, now)) return;
  Close(ended.shard, shard_outcome::kRefused, shard_reason::kSnapshotGone, now);
}

bool query_run::LastStewardChanged(const shard_progress& shard) const {
  if (shard.tried.empty()) return false;
  const std::uint32_t now =
      context_.routes->RouteOf(shard.tried.back()).steward;
  return now != kNoStewardNumber &&
         now != attempts_[shard.last_attempt].steward;
}

void query_run::Close(std::size_t shard, shard_outcome outcome,
                      shard_reason reason, monotonic_time now) {
  shard_progress& state = shards_[shard];
  state.phase = shard_phase::kFailed;
  state.outcome = outcome;
  state.reason = reason;
  state.ended = now;
  --unfinished_;
  if (reason == shard_reason::kSnapshotGone) ++missing_;
}

// One straggler in a hundred hedges of a wide query straggles again, so the
// last hedge may go back to a replica that was asked before.
replica_pick query_run::PickHedge(std::size_t shard, monotonic_time now) {
  const replica_pick untried = Pick(shard, now);
  if (untried.upstream.has_value() || shards_[shard].hedges == 0) {
    return untried;
  }
  return ChooseReplica(pinned_->shards[shard].replicas,
                       {shards_[shard].tried.back()}, pinned_->snapshot,
                       context_, now);
}

void query_run::Hedge(monotonic_time now) {
  next_hedge_.reset();
  const auto plan = [this](monotonic_time due) {
    next_hedge_ = std::min(next_hedge_.value_or(due), due);
  };
  for (std::size_t i = 0; i < shards_.size(); ++i) {
    shard_progress& shard = shards_[i];
    const bool may_hedge = shard.phase == shard_phase::kOpen &&
                           shard.hedges < kMostHedgesPerShard &&
                           shard.attempts < kMostAttemptsPerShard;
    if (!may_hedge) continue;
    const monotonic_time due =
        attempts_[shard.last_attempt].sent + *hedge_delay_;
    if (due > now) {
      plan(due);
      continue;
    }
    const replica_pick pick = PickHedge(i, now);
    if (!pick.upstream.has_value()) {
      shard.hedges = kMostHedgesPerShard;
      continue;
    }
    if (!learnt_.extra_load.TryTake()) {
      const monotonic_time::duration pause = *hedge_delay_ / kHedgePauseDivisor;
      return plan(now +
                  std::max<monotonic_time::duration>(pause, kLeastHedgePause));
    }
    ++shard.hedges;
    ++counts_.hedges;
    Ask(i, *pick.upstream, now);
  }
}

bool query_run::TryRestart(monotonic_time now) {
  if (missing_ == 0 || counts_.restarts >= kMostRestarts) return false;
  const workload_route newest =
      context_.routes->FindWorkload(spec_.request.workload);
  if (newest.plan == nullptr) return false;
  const auto plan = context_.snapshots.ChooseBetter(*newest.plan, *pinned_,
                                                    rule_.Minimum(), now);
  if (plan == nullptr) return false;
  const microseconds typical =
      learnt_.times.Percentile(kTypicalShare).value_or(Between(began_, now));
  if (now + typical >= rule_.AnswerBy()) return false;
  WithdrawAll(now);
  pinned_ = plan;
  ++counts_.restarts;
  counts_.retries += static_cast<int>(Begin(now));
  return true;
}

void query_run::Judge(monotonic_time now) {
  if (settled_) return;
  while (TryRestart(now)) {
  }
  const bool final = unfinished_ == 0;
  if (!final && !rule_.MaySettle(answered_, shards_.size(), now)) return;
  Settle(now);
}

void query_run::Settle(monotonic_time now) {
  bool may_have_run = answered_ > 0;
  for (std::size_t i = 0; i < shards_.size(); ++i) {
    shard_progress& shard = shards_[i];
    may_have_run |= shard.may_have_run || shard.outstanding > 0;
    if (shard.phase == shard_phase::kOpen) {
      Close(i, shard_outcome::kLate,
            now >= rule_.AnswerBy() ? shard_reason::kDeadline
                                    : shard_reason::kCancelled,
            now);
    } else if (shard.phase == shard_phase::kWaiting) {
      Close(i, shard_outcome::kRefused, shard.reason, now);
    }
  }
  WithdrawAll(now);
  settled_ = true;
  account details = MakeAccount();
  if (rule_.CoversMinimum(answered_, shards_.size())) {
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
  if (pinned_ == nullptr) return details;
  details.snapshot = pinned_->snapshot;
  details.coverage = ShareOf(answered_, shards_.size());
  details.shards.reserve(shards_.size());
  for (std::size_t i = 0; i < shards_.size(); ++i) {
    const shard_progress& shard = shards_[i];
    const bool asked = shard.attempts > 0;
    const std::uint32_t last = shard.phase == shard_phase::kAnswered
                                   ? shard.answered_by
                               : asked ? attempts_[shard.last_attempt].upstream
                                       : 0;
    details.shards.push_back(
        AccountLine(pinned_->shards[i].shard, shard,
                    asked ? context_.upstreams.NameOf(last) : std::string()));
  }
  return details;
}

}  // namespace papayaglade
