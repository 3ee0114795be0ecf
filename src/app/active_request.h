#ifndef PAPAYAGLADE_APP_ACTIVE_REQUEST_H_
#define PAPAYAGLADE_APP_ACTIVE_REQUEST_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "app/entry_service.h"
#include "app/owed_answer.h"
#include "app/relay_client.h"
#include "coordination/request_run.h"

namespace papayaglade {

/// A request in progress: performs the actions that its request_run decides on.
/// It hands the legs of a fan-out that lead to other data centres over to
/// instances there, where that is possible.
class entry_service::active_request
    : public run_port,
      public std::enable_shared_from_this<active_request> {
 public:
  active_request(entry_service& service,
                 std::shared_ptr<caller_connection> connection,
                 std::shared_ptr<const entry_request> request,
                 request_run::context context);

  void Start();
  /// Lets the request end by `time`, because the instance stops then.
  void FinishBy(monotonic_time time);
  /// Answers with what is known by now.
  void FinishNow();

  void Send(const attempt& attempt) override;
  void Abandon(std::uint64_t number) override;
  void Finish(entry_answer answer) override;

  const route& Route() const { return run_.Route(); }
  bool HasReachedUpstream() const { return run_.AttemptCount() > 0; }
  std::chrono::milliseconds Age() const;
  /// Returns the longest that the request may still take.
  std::chrono::milliseconds TimeAllowed() const;
  /// Returns what the request waits for at present.
  owed_answer Owed() const;

 private:
  /// An attempt that another instance makes.
  struct relayed_attempt {
    relay_client::id exchange = 0;
    upstream_pointer upstream;  ///< That this instance would have asked.
    monotonic_time sent_at;
  };

  void SendDirectly(const attempt& attempt);
  /// Hands over what has been collected, in groups by data centre.
  void SendCollected();
  /// Returns false if no instance can take the group.
  bool TryRelay(const std::string& data_centre,
                const std::vector<attempt>& group);
  void OnRelayReply(relay_client::id exchange, const relay_reply& reply);
  void OnRelayLost(relay_client::id exchange);
  /// Removes a relayed attempt and ends its exchange with the last one. Returns
  /// nullopt for an unknown attempt.
  std::optional<relayed_attempt> TakeRelayed(std::uint64_t number);
  /// Applies what upstreams have said to the instance that asked them.
  void ApplyNotices(const std::vector<relay_notice>& notices);
  void RecordRelayedAnswer(const relayed_attempt& ended,
                           std::chrono::milliseconds latency);
  /// Records that nobody awaits the attempt any more, if it is late by then.
  void RecordRelayedLate(const relayed_attempt& abandoned);

  bool IsConnected(std::uint64_t number) const;
  void OnResult(std::uint64_t number, const upstream_record& upstream,
                attempt_result result);
  void OnDisconnect();
  void ScheduleTimer();
  void RecordOutcome(const entry_answer& answer);
  void LogFailedAttempt(std::uint64_t number, const upstream_record& upstream,
                        attempt_end end, const char* why);

  entry_service& service_;
  std::shared_ptr<caller_connection> connection_;
  std::shared_ptr<const entry_request> request_;
  std::shared_ptr<const tier_configuration> configuration_;
  monotonic_time arrival_;
  request_run run_;
  std::unordered_map<std::uint64_t, upstream_client::id> exchanges_;
  /// First attempts that may be relayed; empty unless the run starts.
  std::optional<std::vector<attempt>> collected_;
  std::unordered_map<std::uint64_t, relayed_attempt> relayed_;
  /// Number of `relayed_` of each exchange.
  std::unordered_map<relay_client::id, std::size_t> relay_exchanges_;
  std::size_t relayed_count_ = 0;  ///< Legs handed over since the start.
  std::optional<timer_queue::id> timer_;
  monotonic_time timer_expiry_;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_APP_ACTIVE_REQUEST_H_
