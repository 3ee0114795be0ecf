#ifndef PAPAYAGLADE_STATE_CONTROL_MESSAGE_H_
#define PAPAYAGLADE_STATE_CONTROL_MESSAGE_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "state/identity.h"
#include "state/member.h"
#include "state/versioned_object.h"

namespace papayaglade {

// Membership of one data centre; see docs/design/membership.md.

/// Asks a peer to reply, which shows that it is alive.
struct probe {
  std::uint64_t sequence = 0;
  std::uint64_t versions_hash = 0;  ///< The sender's object_store::Summary().
  std::vector<member_update> updates;
};

/// Answers a probe.
struct probe_reply {
  std::uint64_t sequence = 0;
  std::uint64_t versions_hash = 0;
  std::vector<member_update> updates;
};

/// Asks a peer to probe `target` and to forward the reply.
struct probe_request {
  std::uint64_t sequence = 0;
  instance_identity target;
  std::vector<member_update> updates;
};

/// All members that the sender knows, the sender first.
struct member_list {
  bool reply_wanted = false;
  std::string data_centre;
  std::vector<member_update> members;
};

// Dissemination of shared objects; see docs/design/spread.md.

/// Sends peers in other data centres the hash of the sender's object versions.
struct version_summary {
  std::uint64_t versions_hash = 0;
};

struct version_entry {
  object_key key;
  std::uint64_t version = 0;
};

/// Lists object versions that the sender holds. `complete` is true if the list
/// covers all of its objects.
struct version_digest {
  bool complete = false;
  std::vector<version_entry> entries;
};

/// Requests an object that the receiver has announced.
struct object_request {
  object_key key;
};

/// Answers an object_request. `busy` is true if the sender has reached its send
/// rate limit; the object is then not included.
struct object_reply {
  bool busy = false;
  versioned_object object;  ///< Only the key is set if `busy`.
};

/// Asks a peer in the same data centre for the newest roster epoch it knows.
struct standing_request {
  std::uint64_t sequence = 0;
  std::uint64_t epoch = 0;  ///< Newest epoch that the sender knows.
};

/// Answers a standing_request; see docs/design/stewardship.md.
struct standing_reply {
  std::uint64_t sequence = 0;
  std::uint64_t epoch = 0;  ///< Newest epoch that the sender knows.
  /// The sender sends nothing more to the upstreams that were assigned away
  /// from it in this epoch or an earlier one.
  std::uint64_t released_epoch = 0;
  /// Time since the platform proved that `epoch` is the newest; negative if it
  /// never did.
  std::chrono::microseconds proof_age{-1};
};

/// The state of one upstream, handed over by its previous steward.
struct handover {
  std::string upstream;
  std::string state;  ///< Encoded by the steward worker; opaque to others.
};

/// Hands upstreams over to the steward that the roster of `epoch` assigns. It
/// is resent until it is acknowledged.
struct stewardship_handover {
  std::uint64_t epoch = 0;
  std::vector<handover> upstreams;
};

struct stewardship_handover_ack {
  std::uint64_t epoch = 0;
};

/// Any message between the control workers of two instances.
using control_message =
    std::variant<probe, probe_reply, probe_request, member_list,
                 version_summary, version_digest, object_request, object_reply,
                 standing_request, standing_reply, stewardship_handover,
                 stewardship_handover_ack>;

}  // namespace papayaglade

#endif  // PAPAYAGLADE_STATE_CONTROL_MESSAGE_H_
