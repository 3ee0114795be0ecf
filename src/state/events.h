#ifndef PAPAYAGLADE_STATE_EVENTS_H_
#define PAPAYAGLADE_STATE_EVENTS_H_

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

/// Periodic time from the timer service.
struct tick {
  monotonic_time now;
};

/// A new agreed view; parts keep the newest pointer.
struct view_update {
  std::shared_ptr<const cluster_view> view;
};

/// A caller's request with the way back to its connection.
struct caller_event {
  caller_request request;
  monotonic_time arrival;
  std::function<void(caller_outcome)> reply;  ///< Called once, any thread.
};

/// Results from a steward, local or by peer link.
struct results_event {
  shard_results results;
};

/// A batch for the stewards duty, from the local router or a peer.
struct batch_event {
  shard_batch batch;
  monotonic_time deadline;  ///< By this instance's clock.
};

/// Attempts the entry instance no longer needs.
struct cancel_event {
  shard_cancel cancel;
};

/// A peer link went up or down.
struct peer_link_event {
  enum class link_state { kUp, kRefused, kClosed, kSilent };
  instance_identity peer;
  link_state state = link_state::kUp;
};

/// A control message from the control duty of a peer.
struct control_event {
  instance_identity from;
  control_message message;
};

/// The platform's answer to a call of this duty.
struct platform_event {
  platform_reply reply;
};

/// A request for a snapshot of a duty's state as JSON text, for operators.
struct status_query {
  std::function<void(std::string json)> reply;
};

/// An operator's order given to this instance; `reply` tells what came of it.
struct order_event {
  data_centre_order order;
  std::function<void(std::string json)> reply;
};

/// Asks the router for the account of a recent request, as JSON text; empty
/// when the bounded history does not hold it.
struct explain_query {
  std::string request_id;
  std::function<void(std::string json)> reply;
};

/// Asks a duty to finish what it accepted; the duty reports by `done`.
struct drain_event {
  std::function<void()> done;
};

using router_event =
    std::variant<tick, view_update, caller_event, results_event,
                 peer_link_event, platform_event, status_query, explain_query,
                 drain_event>;

// Towards and from the upstreams duty.

struct open_connection {
  std::uint64_t connection_id = 0;
  endpoint target;
  std::chrono::milliseconds timeout{1000};
};

struct close_connection {
  std::uint64_t connection_id = 0;
};

/// One HTTP exchange on an open, idle connection.
struct send_exchange {
  std::uint64_t connection_id = 0;
  std::uint64_t exchange_id = 0;
  std::string method;
  std::string target;
  std::string body;  ///< JSON text; may be empty.
  /// Not written after this; then it fails as `kTimedOut` with nothing sent.
  monotonic_time send_deadline = monotonic_time::max();
};

using upstream_command =
    std::variant<open_connection, close_connection, send_exchange>;

struct connection_opened {
  std::uint64_t connection_id = 0;
};

enum class connection_failure { kRefused, kTimedOut, kReset, kMalformed };

/// The connection is gone; exchanges on it have no reply and may have run,
/// unless `nothing_sent` proves that no byte left.
struct connection_failed {
  std::uint64_t connection_id = 0;
  connection_failure failure = connection_failure::kReset;
  bool nothing_sent = false;
  /// The exchange it had taken up; another one on it was never sent.
  std::uint64_t exchange_id = 0;
};

struct exchange_reply {
  std::uint64_t connection_id = 0;
  std::uint64_t exchange_id = 0;
  int status = 0;  ///< HTTP status.
  std::string body;
  bool keep_alive = true;
};

/// The control duty's word on this instance's own standing; see
/// docs/design/stewardship.md.
struct standing_update {
  std::uint64_t roster_epoch = 0;
  monotonic_time proven_until;         ///< End of the lease by this clock.
  std::vector<std::string> upstreams;  ///< Upstreams this instance stewards.
  /// Upstreams taken over whose old steward may still send: not before this.
  std::vector<std::string> fenced;
  monotonic_time fenced_until;
};

/// States for the stewards duty to take over, or its answer to the control
/// duty that asked for a release.
struct handover_event {
  std::vector<handover> upstreams;
  std::uint64_t epoch = 0;  ///< Of the release that this answers.
};

/// Asks the stewards duty to end its stewardship of `upstreams` (all, if
/// empty) and to report their states; nothing new is sent to them from then.
struct handover_request {
  std::vector<std::string> upstreams;
  std::function<void(std::vector<handover>)> reply;
};

using steward_event =
    std::variant<tick, view_update, standing_update, batch_event, cancel_event,
                 connection_opened, connection_failed, exchange_reply,
                 handover_event, handover_request, peer_link_event,
                 status_query, drain_event>;

using control_duty_event =
    std::variant<tick, control_event, peer_link_event, platform_event,
                 order_event, status_query, handover_event, drain_event>;

using router_ring = ring<router_event>;
using steward_ring = ring<steward_event>;
using control_ring = ring<control_duty_event>;

}  // namespace papayaglade

#endif  // PAPAYAGLADE_STATE_EVENTS_H_
