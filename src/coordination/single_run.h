#ifndef PAPAYAGLADE_COORDINATION_SINGLE_RUN_H_
#define PAPAYAGLADE_COORDINATION_SINGLE_RUN_H_

#include <cstdint>
#include <optional>
#include <string>

#include "coordination/outbox.h"
#include "coordination/query_account.h"
#include "coordination/query_action.h"
#include "coordination/query_context.h"
#include "coordination/query_spec.h"
#include "coordination/settle_rule.h"

namespace papayaglade {

/// Runs one request that may run only once. The request is sent to one
/// upstream, one time. If it has a request key, the claim stored on the
/// platform decides which instance sends it; see
/// docs/design/non-repeatable-requests.md.
class single_run {
 public:
  single_run(query_spec spec, query_context& context);

  void Start(monotonic_time now);
  void OnResult(shard_result& result, monotonic_time now);
  void OnStewardDown(std::uint32_t steward, monotonic_time now);
  void OnRoutes(monotonic_time now);
  void OnClaim(const claim_reply& reply, monotonic_time now);
  void OnTimer(monotonic_time now);
  /// Lets the caller be answered by `time`, because the instance stops then.
  /// A later result is still recorded under the request key.
  void FinishBy(monotonic_time time) { rule_.FinishBy(time); }
  void Flush(monotonic_time now, query_actions& out);

  monotonic_time NextTimer() const;
  bool IsOver() const { return phase_ == run_phase::kOver; }
  const attempt_counts& Counts() const { return counts_; }

 private:
  enum class run_phase {
    kClaiming,     ///< Writing this request's claim, or reading it back.
    kMarkingSent,  ///< Marking the claim as sent, or reading the mark back.
    kFollowing,    ///< Waiting for the request that owns the claim.
    kInFlight,
    kRecording,  ///< Writing the result into the claim.
    kOver,
  };

  bool IsKeyed() const { return !spec_.request.request_key.empty(); }
  bool IsOwn(const claim& value) const {
    return value.attempt == attempt_name_;
  }
  bool ChooseUpstream(monotonic_time now);
  void SendAttempt(monotonic_time now);
  /// Ends the attempt if it is pending; returns whether it was.
  bool TryCloseAttempt();

  void StartClaim(std::uint64_t expected_version);
  void WriteClaim(claim_phase phase);
  void ReadClaim();
  void ScheduleRead(monotonic_time now);
  void OnClaimWritten(const claim_reply& reply, monotonic_time now);
  void OnStoredClaim(const claim_reply& reply, monotonic_time now);
  void OnOwnClaim(const claim& stored, monotonic_time now);
  void FollowClaim(const claim_reply& reply, monotonic_time now);
  void OnRecorded(const claim_reply& reply, monotonic_time now);
  void RecordResult(claim_phase phase, caller_outcome outcome);

  void Settle(caller_outcome outcome);
  void SettleUnsent(error_kind kind, const std::string& message);
  void SettleUnknown(const std::string& message);
  void OnDeadline();
  void Finish();
  account MakeAccount(shard_outcome outcome, shard_reason reason) const;

  query_spec spec_;
  query_context& context_;
  settle_rule rule_;
  std::uint64_t attempt_id_;
  std::string attempt_name_;
  std::string shard_;
  std::uint32_t upstream_ = 0;
  std::uint32_t steward_ = 0;
  bool is_sent_ = false;
  bool attempt_pending_ = false;
  bool is_settled_ = false;
  bool call_pending_ = false;
  monotonic_time sent_at_;
  monotonic_time call_timeout_at_;
  std::optional<monotonic_time> next_read_at_;
  run_phase phase_ = run_phase::kClaiming;
  claim own_claim_;
  std::uint64_t version_ = 0;
  std::uint64_t followed_version_ = 0;
  monotonic_time followed_since_;
  int record_attempts_ = 0;
  attempt_counts counts_;
  outbox outbox_;
  query_actions actions_;
  /// Outcome that is being recorded and is not sent to the caller yet.
  std::optional<caller_outcome> outcome_;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_COORDINATION_SINGLE_RUN_H_
