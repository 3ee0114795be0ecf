#include "coordination/single_run.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "coordination/replica_choice.h"
#include "coordination/request_key.h"

namespace papayaglade {

namespace {

constexpr std::chrono::milliseconds kReadPause{50};
// Longer than any call may take, so only a reply that got lost is given up.
constexpr std::chrono::milliseconds kCallPatience{1500};
// A claim that stays unsent this long may be taken over: the owner's next
// write then fails, so nothing that it does later can be sent.
constexpr std::chrono::milliseconds kClaimPatience{250};
// How long a late result is still recorded after the caller was answered.
constexpr std::chrono::milliseconds kLinger{2000};
constexpr int kMostRecordTries = 5;
constexpr char kSameKeyRemedy[] =
    "ask again with the same request_key and content: it runs at most once";

std::string AttemptText(const instance_identity& self, std::uint64_t id) {
  return self.name + "-" + std::to_string(self.incarnation) + "-" +
         std::to_string(id);
}

bool WasRefused(platform_status status) {
  return status == platform_status::kUnreachable ||
         status == platform_status::kRejected;
}

}  // namespace

single_run::single_run(query_spec spec, query_context& context)
    : spec_(std::move(spec)),
      context_(context),
      rule_(spec_.route.work->coverage, spec_.request.minimum_coverage,
            spec_.start, spec_.deadline),
      attempt_id_(spec_.number << kAttemptBits),
      attempt_name_(AttemptText(context.self, attempt_id_)) {
  own_.attempt = attempt_name_;
  own_.fingerprint = FingerprintOf(spec_.request);
  own_.time_allowed = std::chrono::duration_cast<std::chrono::milliseconds>(
      spec_.deadline - spec_.start);
}

void single_run::Start(monotonic_time now) {
  if (!ChooseUpstream(now)) {
    SettleUnsent(error_kind::kUnavailable,
                 "no upstream of the service can be reached");
    return Finish();
  }
  own_.upstream = context_.upstreams.NameOf(upstream_);
  if (IsKeyed()) return Claim(0);
  SendAttempt(now);
}

void single_run::OnResult(shard_result& result, monotonic_time now) {
  if (result.attempt_id != attempt_id_ || !TakeAttempt()) return;
  if (result.status == shard_status::kAnswered) {
    own_.hits = result.hits;
    account details = MakeAccount(shard_outcome::kAnswered, result.reason);
    details.coverage = 1.0;
    details.shards.front().time =
        std::chrono::duration_cast<std::chrono::microseconds>(now - sent_at_);
    return Record(claim_phase::kDone,
                  answered{std::move(result.hits), std::move(details)});
  }
  if (result.status == shard_status::kLost) {
    SettleUnknown(std::string("the upstream gave no answer: ") +
                  ShardReasonName(result.reason));
    return Finish();
  }
  error cause{
      error_kind::kNotRun, "",
      std::string("refused before running: ") + ShardReasonName(result.reason),
      "nothing ran: ask again"};
  Record(claim_phase::kReleased,
         not_run{std::move(cause),
                 MakeAccount(shard_outcome::kRefused, result.reason)});
}

void single_run::OnStewardDown(std::uint32_t steward, monotonic_time /*now*/) {
  if (steward != steward_ || !TakeAttempt()) return;
  SettleUnknown("the link to the steward broke while the request was out");
  Finish();
}

void single_run::OnRoutes(monotonic_time /*now*/) {}

void single_run::OnClaim(const claim_reply& reply, monotonic_time now) {
  if (!call_open_) return;
  call_open_ = false;
  if (phase_ == run_phase::kRecording) return OnRecorded(reply, now);
  if (reply.status == platform_status::kOk && reply.has_value) {
    return OnStored(reply, now);
  }
  switch (reply.status) {
    case platform_status::kOk:
      return OnWritten(reply, now);
    case platform_status::kConflict:
      if (reply.has_value) return OnStored(reply, now);
      break;
    case platform_status::kNotFound:
      // The lost write has not taken effect; repeated, it still takes effect
      // at most once, because it creates the claim or finds it.
      return Claim(0);
    case platform_status::kUnreachable:
    case platform_status::kRejected:
    case platform_status::kGone:
    case platform_status::kLost:
      break;
  }
  if (WasRefused(reply.status) && phase_ != run_phase::kFollowing) {
    SettleUnsent(error_kind::kUnavailable,
                 "the platform, which keeps request keys, refuses or is "
                 "out; this request sent nothing");
    return Finish();
  }
  RetryLater(now);
}

void single_run::OnTime(monotonic_time now) {
  if (phase_ == run_phase::kOver) return;
  if (!settled_ && now >= rule_.AnswerBy()) OnDeadline();
  if (settled_ && now >= spec_.deadline + kLinger) return Finish();
  if (call_open_ && now >= call_due_) {
    OnClaim(claim_reply(), now);
  } else if (next_read_.has_value() && now >= *next_read_) {
    next_read_.reset();
    if (phase_ == run_phase::kRecording) return Write(own_.phase);
    Read();
  }
}

void single_run::Flush(monotonic_time now, query_actions& out) {
  outbox_.Flush(spec_, 0, context_, rule_.AnswerBy(), now, out);
  for (query_action& each : actions_) {
    // A call that never comes back must not hold the request for ever.
    if (!std::holds_alternative<settle_request>(each)) {
      call_due_ = now + kCallPatience;
    }
    out.push_back(std::move(each));
  }
  actions_.clear();
}

monotonic_time single_run::NextDue() const {
  monotonic_time due = settled_ ? spec_.deadline + kLinger : rule_.AnswerBy();
  if (call_open_) due = std::min(due, call_due_);
  if (next_read_.has_value()) due = std::min(due, *next_read_);
  return due;
}

bool single_run::ChooseUpstream(monotonic_time now) {
  const service_plan& plan = *spec_.route.plan;
  std::vector<std::uint32_t> candidates;
  if (!plan.snapshots.empty() && !plan.snapshots.front()->shards.empty()) {
    const auto& shards = plan.snapshots.front()->shards;
    const shard_plan& placed =
        shards[PlacementHash(spec_.request) % shards.size()];
    shard_ = placed.shard;
    candidates = placed.replicas;
  } else {
    // A service without an index is served by any of its upstreams.
    for (const upstream_definition& each : plan.service->upstreams) {
      candidates.push_back(context_.upstreams.NumberOf(each.name));
    }
  }
  const replica_pick pick = ChooseReplica(candidates, {}, 0, context_, now);
  if (!pick.upstream.has_value()) return false;
  upstream_ = *pick.upstream;
  return true;
}

void single_run::SendAttempt(monotonic_time now) {
  // The steward may have changed while the claim was written.
  steward_ = context_.routes->RouteOf(upstream_).steward;
  const bool reachable = steward_ != kNoStewardNumber &&
                         !context_.replicas.IsStewardDown(steward_, now);
  if (!reachable || now >= rule_.AnswerBy()) {
    error cause{error_kind::kNotRun, "", "the upstream has no steward in reach",
                "nothing ran: ask again"};
    return Record(
        claim_phase::kReleased,
        not_run{std::move(cause), MakeAccount(shard_outcome::kNotAsked,
                                              shard_reason::kNoSteward)});
  }
  phase_ = run_phase::kInFlight;
  sent_ = true;
  attempt_open_ = true;
  sent_at_ = now;
  counts_.first_attempts = 1;
  context_.replicas.Sent(upstream_);
  outbox_.Send(steward_, {attempt_id_, shard_, own_.upstream});
}

bool single_run::TakeAttempt() {
  if (!attempt_open_) return false;
  attempt_open_ = false;
  context_.replicas.Ended(upstream_);
  return true;
}

void single_run::Claim(std::uint64_t expected_version) {
  phase_ = run_phase::kClaiming;
  version_ = expected_version;
  Write(claim_phase::kClaimed);
}

void single_run::Write(claim_phase phase) {
  own_.phase = phase;
  call_open_ = true;
  actions_.emplace_back(write_claim{spec_.request.request_key, version_, own_});
}

void single_run::Read() {
  call_open_ = true;
  actions_.emplace_back(read_claim{spec_.request.request_key});
}

void single_run::RetryLater(monotonic_time now) {
  next_read_ = now + kReadPause;
}

void single_run::OnWritten(const claim_reply& reply, monotonic_time now) {
  version_ = reply.version;
  if (settled_) return Finish();
  if (phase_ == run_phase::kMarking) return SendAttempt(now);
  phase_ = run_phase::kMarking;
  Write(claim_phase::kSent);
}

void single_run::OnStored(const claim_reply& reply, monotonic_time now) {
  if (settled_) return Finish();
  if (!reply.readable) {
    SettleUnsent(error_kind::kConflict,
                 "the platform holds something else under this request_key");
    return Finish();
  }
  if (!IsOwn(reply.value)) return Follow(reply, now);
  version_ = reply.version;
  OnOwnClaim(reply.value, now);
}

// A write whose answer was lost is settled here: the stored attempt id tells
// whether it took effect.
void single_run::OnOwnClaim(const claim& stored, monotonic_time now) {
  if (sent_) return;
  if (stored.phase == claim_phase::kSent) return SendAttempt(now);
  if (stored.phase != claim_phase::kClaimed) {
    SettleUnknown("the claim of the request_key is further than this request");
    return Finish();
  }
  phase_ = run_phase::kMarking;
  Write(claim_phase::kSent);
}

void single_run::Follow(const claim_reply& reply, monotonic_time now) {
  phase_ = run_phase::kFollowing;
  const claim& other = reply.value;
  if (other.fingerprint != own_.fingerprint) {
    SettleUnsent(error_kind::kConflict,
                 "request_key was used for a different request");
    return Finish();
  }
  if (reply.version != followed_version_) {
    followed_version_ = reply.version;
    followed_since_ = now;
  }
  const auto unchanged = now - followed_since_;
  switch (other.phase) {
    case claim_phase::kDone: {
      account details =
          MakeAccount(shard_outcome::kAnswered, shard_reason::kNone);
      details.coverage = 1.0;
      details.shards.front().upstream = other.upstream;
      Settle(answered{other.hits, std::move(details)});
      return Finish();
    }
    case claim_phase::kReleased:
      return Claim(reply.version);
    case claim_phase::kClaimed:
      if (unchanged >= kClaimPatience) return Claim(reply.version);
      return RetryLater(now);
    case claim_phase::kSent:
      if (unchanged < other.time_allowed) return RetryLater(now);
      SettleUnknown(
          "the first request with this request_key was sent and has "
          "no recorded result");
      return Finish();
  }
}

void single_run::OnRecorded(const claim_reply& reply, monotonic_time now) {
  const bool open =
      reply.status == platform_status::kLost || WasRefused(reply.status);
  if (open && ++record_tries_ < kMostRecordTries) return RetryLater(now);
  // A conflict here is the own earlier write, whose answer was lost: nobody
  // else may change a claim that is in phase kSent.
  if (!settled_) Settle(std::move(*outcome_));
  Finish();
}

// The result is recorded before the caller is answered, so that whoever got an
// answer finds the same one under the key.
void single_run::Record(claim_phase phase, caller_outcome outcome) {
  if (!IsKeyed()) {
    if (!settled_) Settle(std::move(outcome));
    return Finish();
  }
  outcome_ = std::move(outcome);
  phase_ = run_phase::kRecording;
  Write(phase);
}

void single_run::Settle(caller_outcome outcome) {
  settled_ = true;
  actions_.emplace_back(
      settle_request{std::move(outcome), counts_, spec_.route.work->priority});
}

void single_run::SettleUnsent(error_kind kind, const std::string& message) {
  if (settled_) return;
  const std::string remedy =
      kind == error_kind::kConflict
          ? "use a new request_key for a different request"
      : IsKeyed() ? kSameKeyRemedy
                  : "nothing ran: ask again";
  Settle(not_run{{kind, IsKeyed() ? "/request_key" : "", message, remedy},
                 MakeAccount(shard_outcome::kNotAsked, shard_reason::kNone)});
}

void single_run::SettleUnknown(const std::string& message) {
  if (settled_) return;
  const std::string remedy =
      IsKeyed() ? kSameKeyRemedy
                : "find out from the service whether it ran before asking "
                  "again, and send a request_key next time";
  Settle(outcome_unknown{
      {error_kind::kOutcomeUnknown, "", message, remedy},
      MakeAccount(shard_outcome::kLost, shard_reason::kDeadline)});
}

void single_run::OnDeadline() {
  switch (phase_) {
    case run_phase::kClaiming:
    case run_phase::kMarking:
      SettleUnsent(error_kind::kDeadline,
                   "the claim of the request_key was not settled in time; this "
                   "request sent nothing");
      return Finish();
    case run_phase::kFollowing:
      SettleUnknown("another request with this request_key is in progress");
      return Finish();
    case run_phase::kInFlight:
      SettleUnknown("no answer within the deadline");
      if (!IsKeyed()) Finish();
      return;
    case run_phase::kRecording:
      return Settle(std::move(*outcome_));
    case run_phase::kOver:
      return;
  }
}

void single_run::Finish() {
  if (attempt_open_) TakeAttempt();
  phase_ = run_phase::kOver;
}

account single_run::MakeAccount(shard_outcome outcome,
                                shard_reason reason) const {
  account details;
  details.request_id = spec_.request.request_id;
  details.workload = spec_.request.workload;
  shard_account line;
  line.shard = shard_;
  line.outcome = outcome;
  line.reason = reason;
  line.upstream = own_.upstream;
  line.attempts = sent_ ? 1 : 0;
  details.shards.push_back(std::move(line));
  return details;
}

}  // namespace papayaglade
