#ifndef PAPAYAGLADE_STATE_EVENTS_H_
#define PAPAYAGLADE_STATE_EVENTS_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "state/caller_messages.h"
#include "state/cluster_view.h"
#include "state/control_message.h"
#include "state/platform_messages.h"
#include "state/ring.h"
#include "state/shard_messages.h"
#include "state/time.h"

namespace papayaglade {

/// Sent periodically by the timer service.
struct tick {
  monotonic_time now;
};

/// Announces a new agreed view. Receivers keep the newest pointer.
struct view_update {
  std::shared_ptr<const cluster_view> view;
};

/// A caller's request and the callback that answers it.
struct caller_event {
  caller_request request;
  monotonic_time arrival;
  /// Receives the outcome; called exactly once, on any thread.
  std::function<void(caller_outcome)> reply;
};

/// Results from a steward, either local or received over a peer link.
struct results_event {
  shard_results results;
};

/// A batch for the steward worker, from the local router or a peer.
struct batch_event {
  shard_batch batch;
  monotonic_time deadline;  ///< Deadline on the clock of this instance.
};

/// Cancels attempts that the entry instance no longer needs.
struct cancel_event {
  shard_cancel cancel;
};

/// The state of a peer link changed.
struct peer_link_event {
  enum class link_state { kUp, kRefused, kClosed, kSilent };
  instance_identity peer;
  link_state state = link_state::kUp;
};

/// A message from the control worker of a peer.
struct control_event {
  instance_identity from;
  control_message message;
};

/// The platform's reply to a call made by this worker.
struct platform_event {
  platform_reply reply;
};

/// Requests the current state of a worker as JSON text, for operators.
struct status_query {
  std::function<void(std::string json)> reply;
};

/// An operator's order given to this instance. `reply` gets its result.
struct order_event {
  data_centre_order order;
  std::function<void(std::string json)> reply;
};

/// Asks the router for the account of a recent request as JSON text. The reply
/// is empty if the bounded history no longer contains the request.
struct explain_query {
  std::string request_id;
  std::function<void(std::string json)> reply;
};

/// Tells the router that the instance stops: the process is killed `bound`
/// after `start`.
struct stop_event {
  monotonic_time start;
  std::chrono::milliseconds bound{0};
};

/// Asks a worker to finish the work it has accepted. It then calls `done`.
struct drain_event {
  std::function<void()> done;
};

using router_event =
    std::variant<tick, view_update, caller_event, results_event,
                 peer_link_event, platform_event, status_query, explain_query,
                 stop_event, drain_event>;

// Commands to and events from the upstream connections.

/// Opens a connection to `target`.
struct open_connection {
  std::uint64_t connection_id = 0;
  endpoint target;
  std::chrono::milliseconds timeout{1000};
};

/// Closes a connection.
struct close_connection {
  std::uint64_t connection_id = 0;
};

/// Starts an HTTP exchange on an open, idle connection.
struct send_exchange {
  std::uint64_t connection_id = 0;
  std::uint64_t exchange_id = 0;
  std::string method;
  std::string target;
  std::string body;  ///< JSON text; may be empty.
  /// Time after which the request is not written; the exchange then fails with
  /// kTimedOut and `nothing_sent`.
  monotonic_time send_deadline = monotonic_time::max();
};

using upstream_command =
    std::variant<open_connection, close_connection, send_exchange>;

/// Reports that a connection was established.
struct connection_opened {
  std::uint64_t connection_id = 0;
};

/// The reason why a connection failed.
enum class connection_failure { kRefused, kTimedOut, kReset, kMalformed };

/// Reports that a connection is closed. Exchanges on it get no reply and may
/// have run, unless `nothing_sent` shows that no byte was sent.
struct connection_failed {
  std::uint64_t connection_id = 0;
  connection_failure failure = connection_failure::kReset;
  bool nothing_sent = false;
  /// The exchange that was started on the connection. Any other exchange on it
  /// was never sent.
  std::uint64_t exchange_id = 0;
};

/// The reply of an HTTP exchange.
struct exchange_reply {
  std::uint64_t connection_id = 0;
  std::uint64_t exchange_id = 0;
  int status = 0;  ///< HTTP status.
  std::string body;
  bool keep_alive = true;
};

/// The control worker's report of this instance's own standing; see
/// docs/design/stewardship.md.
struct standing_update {
  std::uint64_t roster_epoch = 0;
  monotonic_time proven_until;         ///< End of the lease on this clock.
  std::vector<std::string> upstreams;  ///< Upstreams this instance stewards.
  /// Upstreams taken over whose previous steward may still send requests. This
  /// instance sends them none before `fenced_until`.
  std::vector<std::string> fenced;
  monotonic_time fenced_until;
};

/// Upstream states that the steward worker takes over, or its answer to the
/// control worker that asked for their release.
struct handover_event {
  std::vector<handover> upstreams;
  std::uint64_t epoch = 0;  ///< Epoch of the release that this answers.
};

/// Asks the steward worker to end its stewardship of `upstreams` (all if empty)
/// and to report their states. It sends them no new requests from then on.
struct handover_request {
  std::vector<std::string> upstreams;
  std::function<void(std::vector<handover>)> reply;
};

using steward_event =
    std::variant<tick, view_update, standing_update, batch_event, cancel_event,
                 connection_opened, connection_failed, exchange_reply,
                 handover_event, handover_request, peer_link_event,
                 status_query, drain_event>;

using control_worker_event =
    std::variant<tick, control_event, peer_link_event, platform_event,
                 order_event, status_query, handover_event, drain_event>;

using router_ring = ring<router_event>;
using steward_ring = ring<steward_event>;
using control_ring = ring<control_worker_event>;

}  // namespace papayaglade

#endif  // PAPAYAGLADE_STATE_EVENTS_H_
