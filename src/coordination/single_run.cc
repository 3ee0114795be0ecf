#include "coordination/single_run.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "coordination/replica_choice.h"
#include "coordination/request_key.h"

namespace papayaglade {

namespace {

constexpr std::chrono::milliseconds kReadInterval{50};
// Longer than any call may take, so that only a lost reply times out.
constexpr std::chrono::milliseconds kCallTimeout{1500};
// Another instance may take over a claim that stays unsent for this long. The
// next write of the former owner then fails, so the owner cannot send the
// request any more.
constexpr std::chrono::milliseconds kClaimTakeoverDelay{250};
// Time after the deadline in which a late result is still recorded.
constexpr std::chrono::milliseconds kMaxRecordDelay{2000};
constexpr int kMaxRecordAttempts = 5;
constexpr char kSameKeyRemedy[] =
    "ask again with the same request_key and content: it runs at most once";

std::string FormatAttemptName(const instance_identity& self, std::uint64_t id) {
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
      attempt_name_(FormatAttemptName(context.self, attempt_id_)) {
  own_claim_.attempt = attempt_name_;
  own_claim_.fingerprint = FingerprintOf(spec_.request);
  own_claim_.time_allowed =
      std::chrono::duration_cast<std::chrono::milliseconds>(spec_.deadline -
                                                            spec_.start);
}

void single_run::Start(monotonic_time now) {
  if (!ChooseUpstream(now)) {
    SettleUnsent(error_kind::kUnavailable,
                 "no upstream of the service can be reached");
    return Finish();
  }
  own_claim_.upstream = context_.upstreams.NameOf(upstream_);
  if (IsKeyed()) return StartClaim(0);
  SendAttempt(now);
}

void single_run::OnResult(shard_result& result, monotonic_time now) {
  if (result.attempt_id != attempt_id_ || !TryCloseAttempt()) return;
  if (result.status == shard_status::kAnswered) {
    own_claim_.hits = result.hits;
    account details = MakeAccount(shard_outcome::kAnswered, result.reason);
    details.coverage = 1.0;
    details.shards.front().time =
        std::chrono::duration_cast<std::chrono::microseconds>(now - sent_at_);
    return RecordResult(claim_phase::kDone,
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
  RecordResult(claim_phase::kReleased,
               not_run{std::move(cause),
                       MakeAccount(shard_outcome::kRefused, result.reason)});
}

void single_run::OnStewardDown(std::uint32_t steward, monotonic_time /*now*/) {
  if (steward != steward_ || !TryCloseAttempt()) return;
  SettleUnknown("the link to the steward broke while the request was out");
  Finish();
}

void single_run::OnRoutes(monotonic_time /*now*/) {}

void single_run::OnClaim(const claim_reply& reply, monotonic_time now) {
  if (!call_pending_) return;
  call_pending_ = false;
  if (phase_ == run_phase::kRecording) return OnRecorded(reply, now);
  if (reply.status == platform_status::kOk && reply.has_value) {
    return OnStoredClaim(reply, now);
  }
  switch (reply.status) {
    case platform_status::kOk:
      return OnClaimWritten(reply, now);
    case platform_status::kConflict:
      if (reply.has_value) return OnStoredClaim(reply, now);
      break;
    case platform_status::kNotFound:
      // The lost write has not taken effect. Repeating it is safe: the write
      // either creates the claim or finds it, so it takes effect at most once.
      return StartClaim(0);
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
  ScheduleRead(now);
}

void single_run::OnTimer(monotonic_time now) {
  if (phase_ == run_phase::kOver) return;
  if (!is_settled_ && now >= rule_.AnswerBy()) OnDeadline();
  if (is_settled_ && now >= spec_.deadline + kMaxRecordDelay) return Finish();
  if (call_pending_ && now >= call_timeout_at_) {
    OnClaim(claim_reply(), now);
  } else if (next_read_at_.has_value() && now >= *next_read_at_) {
    next_read_at_.reset();
    if (phase_ == run_phase::kRecording) return WriteClaim(own_claim_.phase);
    ReadClaim();
  }
}

void single_run::Flush(monotonic_time now, query_actions& out) {
  outbox_.Flush(spec_, 0, context_, rule_.AnswerBy(), now, out);
  for (query_action& each : actions_) {
    // A call without a reply must not keep the request open for ever.
    if (!std::holds_alternative<settle_request>(each)) {
      call_timeout_at_ = now + kCallTimeout;
    }
    out.push_back(std::move(each));
  }
  actions_.clear();
}

monotonic_time single_run::NextTimer() const {
  monotonic_time due =
      is_settled_ ? spec_.deadline + kMaxRecordDelay : rule_.AnswerBy();
  if (call_pending_) due = std::min(due, call_timeout_at_);
  if (next_read_at_.has_value()) due = std::min(due, *next_read_at_);
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
    // Any upstream can serve a service without an index.
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
    return RecordResult(
        claim_phase::kReleased,
        not_run{std::move(cause), MakeAccount(shard_outcome::kNotAsked,
                                              shard_reason::kNoSteward)});
  }
  phase_ = run_phase::kInFlight;
  is_sent_ = true;
  attempt_pending_ = true;
  sent_at_ = now;
  counts_.first_attempts = 1;
  context_.replicas.RecordSent(upstream_);
  outbox_.Send(steward_, {attempt_id_, shard_, own_claim_.upstream});
}

bool single_run::TryCloseAttempt() {
  if (!attempt_pending_) return false;
  attempt_pending_ = false;
  context_.replicas.RecordEnd(upstream_);
  return true;
}

void single_run::StartClaim(std::uint64_t expected_version) {
  phase_ = run_phase::kClaiming;
  version_ = expected_version;
  WriteClaim(claim_phase::kClaimed);
}

void single_run::WriteClaim(claim_phase phase) {
  own_claim_.phase = phase;
  call_pending_ = true;
  actions_.emplace_back(
      write_claim{spec_.request.request_key, version_, own_claim_});
}

void single_run::ReadClaim() {
  call_pending_ = true;
  actions_.emplace_back(read_claim{spec_.request.request_key});
}

void single_run::ScheduleRead(monotonic_time now) {
  next_read_at_ = now + kReadInterval;
}

void single_run::OnClaimWritten(const claim_reply& reply, monotonic_time now) {
  version_ = reply.version;
  if (is_settled_) return Finish();
  if (phase_ == run_phase::kMarkingSent) return SendAttempt(now);
  phase_ = run_phase::kMarkingSent;
  WriteClaim(claim_phase::kSent);
}

void single_run::OnStoredClaim(const claim_reply& reply, monotonic_time now) {
  if (is_settled_) return Finish();
  if (!reply.readable) {
    SettleUnsent(error_kind::kConflict,
                 "the platform holds something else under this request_key");
    return Finish();
  }
  if (!IsOwn(reply.value)) return FollowClaim(reply, now);
  version_ = reply.version;
  OnOwnClaim(reply.value, now);
}

// Determines the outcome of a write whose answer was lost: the stored attempt
// id shows whether it took effect.
void single_run::OnOwnClaim(const claim& stored, monotonic_time now) {
  if (is_sent_) return;
  if (stored.phase == claim_phase::kSent) return SendAttempt(now);
  if (stored.phase != claim_phase::kClaimed) {
    SettleUnknown("the claim of the request_key is further than this request");
    return Finish();
  }
  phase_ = run_phase::kMarkingSent;
  WriteClaim(claim_phase::kSent);
}

void single_run::FollowClaim(const claim_reply& reply, monotonic_time now) {
  phase_ = run_phase::kFollowing;
  const claim& other = reply.value;
  if (other.fingerprint != own_claim_.fingerprint) {
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
      return StartClaim(reply.version);
    case claim_phase::kClaimed:
      if (unchanged >= kClaimTakeoverDelay) return StartClaim(reply.version);
      return ScheduleRead(now);
    case claim_phase::kSent:
      if (unchanged < other.time_allowed) return ScheduleRead(now);
      SettleUnknown(
          "the first request with this request_key was sent and has "
          "no recorded result");
      return Finish();
  }
}

void single_run::OnRecorded(const claim_reply& reply, monotonic_time now) {
  const bool unresolved =
      reply.status == platform_status::kLost || WasRefused(reply.status);
  if (unresolved && ++record_attempts_ < kMaxRecordAttempts)
    return ScheduleRead(now);
  // A conflict here means that an earlier write of this request succeeded and
  // its answer was lost, because no other request may change a claim in phase
  // kSent.
  if (!is_settled_) Settle(std::move(*outcome_));
  Finish();
}

// The result is recorded before the caller is answered, so that a later request
// with the same key gets the same answer.
void single_run::RecordResult(claim_phase phase, caller_outcome outcome) {
  if (!IsKeyed()) {
    if (!is_settled_) Settle(std::move(outcome));
    return Finish();
  }
  outcome_ = std::move(outcome);
  phase_ = run_phase::kRecording;
  WriteClaim(phase);
}

void single_run::Settle(caller_outcome outcome) {
  is_settled_ = true;
  actions_.emplace_back(
      settle_request{std::move(outcome), counts_, spec_.route.work->priority});
}

void single_run::SettleUnsent(error_kind kind, const std::string& message) {
  if (is_settled_) return;
  const std::string remedy =
      kind == error_kind::kConflict
          ? "use a new request_key for a different request"
      : IsKeyed() ? kSameKeyRemedy
                  : "nothing ran: ask again";
  Settle(not_run{{kind, IsKeyed() ? "/request_key" : "", message, remedy},
                 MakeAccount(shard_outcome::kNotAsked, shard_reason::kNone)});
}

void single_run::SettleUnknown(const std::string& message) {
  if (is_settled_) return;
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
    case run_phase::kMarkingSent:
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
  if (attempt_pending_) TryCloseAttempt();
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
  line.upstream = own_claim_.upstream;
  line.attempts = is_sent_ ? 1 : 0;
  details.shards.push_back(std::move(line));
  return details;
}

}  // namespace papayaglade
