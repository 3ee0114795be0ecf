#ifndef PAPAYAGLADE_TRANSPORT_UPSTREAM_CLIENT_H_
#define PAPAYAGLADE_TRANSPORT_UPSTREAM_CLIENT_H_

#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "coordination/answer_memory.h"
#include "coordination/attempt_policy.h"
#include "coordination/memory_shares.h"
#include "coordination/repeatable_requests.h"
#include "coordination/upstream_directory.h"
#include "protocol/entry_wire_format.h"
#include "transport/http_exchange_channel.h"

namespace papayaglade {

/// Sends attempts to upstreams over pooled connections. It records the health
/// of each upstream in the directory, also from attempts that were abandoned.
class upstream_client {
 public:
  using id = std::uint64_t;
  using handler = std::function<void(attempt_result)>;
  /// An attempt to send.
  struct attempt_spec {
    upstream_pointer upstream;
    std::shared_ptr<const entry_request> request;
    std::shared_ptr<const tier_configuration> configuration;
    const route* target = nullptr;           ///< Points into `configuration`.
    std::chrono::milliseconds time_left{0};  ///< Time until the deadline.
  };
  /// Counts of attempts and connects since the start.
  struct totals {
    std::size_t sent = 0;  ///< Attempts sent.
    /// Those of them to upstreams that leave, as the last resort.
    std::size_t sent_to_leaving = 0;
    /// Connections opened, including those of probes.
    std::size_t connected = 0;
    /// Number of attempts for each end.
    std::map<attempt_end, std::size_t> ends;
    /// Upstream processes that said that they leave.
    std::size_t leaving_notices = 0;
    /// Refusals that asked for a pause.
    std::size_t pauses = 0;
  };

  /// `answer_bytes` is what all answers may take while they are received.
  upstream_client(loop_context& loop, const entry_wire_format& wire,
                  upstream_directory& directory, attempt_policy& policy,
                  reachability_monitor& reachability,
                  std::size_t answer_bytes = memory_shares().answers);

  /// Sends an attempt and passes its result to `done`, which never runs before
  /// StartAttempt returns.
  id StartAttempt(attempt_spec spec, handler done);
  /// Drops the handler of an exchange. Unless the attempt is late, it may still
  /// complete, which keeps its connection and records the health of the
  /// upstream.
  void Abandon(id exchange);
  /// Returns whether the connection of a running exchange is established.
  bool IsConnected(id exchange) const;

  /// Called when an upstream has not answered an attempt of the given age.
  using silence_handler = std::function<void(const upstream_record& upstream,
                                             std::chrono::milliseconds age)>;
  void SetOnSilent(silence_handler on_silent) {
    on_silent_ = std::move(on_silent);
  }

  /// Called when an upstream says something new about itself, or something that
  /// is not understood.
  using notice_handler = std::function<void(const upstream_record& upstream,
                                            const upstream_notice& notice)>;
  void SetOnNotice(notice_handler on_notice) {
    on_notice_ = std::move(on_notice);
  }

  /// Called when an attempt is sent to an upstream that leaves, with the time
  /// for which it may still be asked.
  using leaving_handler = std::function<void(const upstream_record& upstream,
                                             std::chrono::milliseconds usable)>;
  void SetOnSentToLeaving(leaving_handler on_sent_to_leaving) {
    on_sent_to_leaving_ = std::move(on_sent_to_leaving);
  }

  /// Connects to `upstream` and closes at once. A successful connect is
  /// reported to `reachability`.
  void Probe(const upstream_pointer& upstream);

  /// Closes pooled connections to upstreams that are no longer listed and those
  /// that have been idle too long.
  void CloseUnusedConnections();

  const totals& Totals() const { return totals_; }
  const answer_memory& AnswerMemory() const { return *answer_memory_; }

 private:
  using channel_pointer = std::shared_ptr<http_exchange_channel>;
  struct connection {
    channel_pointer channel;
    /// A repeat of these must take another connection: a late copy of the
    /// answer to the request would be taken for the answer to the repeat.
    repeatable_requests repeatable;
  };
  struct exchange {
    attempt_spec spec;
    connection carrier;
    handler done;  ///< Result handler; empty if the attempt was abandoned.
    monotonic_time start_time;
    /// Time after which the request is not sent again.
    monotonic_time deadline;
    /// Usual latency of the route.
    std::chrono::microseconds usual_latency{0};
    bool fanout = false;  ///< The route targets a fanout service.
  };

  /// Returns a connection that has not carried the request.
  connection AcquireConnection(const upstream_pointer& upstream,
                               const std::string& request_id);
  /// Takes such a connection from the idle ones. If there is none, closes one
  /// of the others.
  std::optional<connection> TakeIdleConnection(const upstream_pointer& upstream,
                                               const std::string& request_id);
  /// Counts and reports an attempt that is sent to an upstream that leaves.
  void CountSentToLeaving(const known_upstream& upstream, monotonic_time now);
  void OnResult(id number, http_exchange_channel::result result);
  void RecordHealth(const exchange& ended, attempt_end end);
  /// Applies and returns what the upstream says about itself in the head of its
  /// answer.
  upstream_notice ApplyNotice(known_upstream& upstream,
                              const upstream_message& message);
  /// Reports a contact with the upstream, or the loss of one, to
  /// `reachability_`.
  void RecordPath(const exchange& ended, bool contact);
  /// Keeps the connection of an exchange that ended with an answer, unless a
  /// late copy of that answer could be taken for another one.
  void ReturnConnection(exchange& ended, const attempt_result& outcome);
  /// Closes an abandoned exchange that has not completed and records what that
  /// says about the upstream.
  void CancelAbandoned(id number);

  loop_context& loop_;
  const entry_wire_format& wire_;
  upstream_directory& directory_;
  attempt_policy& policy_;
  reachability_monitor& reachability_;
  std::shared_ptr<answer_memory> answer_memory_;
  id last_id_ = 0;
  std::unordered_map<id, exchange> exchanges_;
  /// Idle connections to one upstream process, last used last. Pools are keyed
  /// by the address of the upstream object. Each process has its own object, so
  /// connections to two processes at one network address are never confused.
  /// Each pool keeps its upstream alive, so that the key is not reused.
  struct pool {
    upstream_pointer upstream;
    std::vector<connection> idle;
  };
  std::unordered_map<const known_upstream*, pool> pools_;
  silence_handler on_silent_;
  notice_handler on_notice_;
  leaving_handler on_sent_to_leaving_;
  totals totals_;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_TRANSPORT_UPSTREAM_CLIENT_H_
