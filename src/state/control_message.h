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

/// Asks a peer to prove that it is alive.
struct probe {
  std::uint64_t sequence = 0;
  std::uint64_t versions_hash = 0;  ///< object_store::Summary of the sender.
  std::vector<member_update> updates;
};

/// Answers a probe.
struct probe_reply {
  std::uint64_t sequence = 0;
  std::uint64_t versions_hash = 0;
  std::vector<member_update> updates;
};

/// Asks a peer to probe `target` and to pass its reply on.
struct probe_request {
  std::uint64_t sequence = 0;
  instance_identity target;
  std::vector<member_update> updates;
};

/// All members the sender knows, itself first.
struct member_list {
  bool reply_wanted = false;
  std::string data_centre;
  std::vector<member_update> members;
};

// Spread of shared objects; see docs/design/spread.md.

/// Tells peers in other data centres what the sender's versions add up to.
struct version_summary {
  std::uint64_t versions_hash = 0;
};

struct version_entry {
  object_key key;
  std::uint64_t version = 0;
};

/// Versions the sender has; `complete` when it has no other objects.
struct version_digest {
  bool complete = false;
  std::vector<version_entry> entries;
};

/// Asks for an object that the receiver said it has.
struct object_request {
  object_key key;
};

/// Answers an object_request; `busy` when the sender has sent too much lately.
struct object_reply {
  bool busy = false;
  versioned_object object;  ///< Only the key when busy.
};

/// Asks a peer of the own data centre for the newest roster epoch it knows.
struct standing_request {
  std::uint64_t sequence = 0;
  std::uint64_t epoch = 0;  ///< The newest the sender knows.
};

/// Answers a standing_request; see docs/design/stewardship.md.
struct standing_reply {
  std::uint64_t sequence = 0;
  std::uint64_t epoch = 0;  ///< The newest the sender knows.
  /// All upstreams lost up to this epoch get nothing more from the sender.
  std::uint64_t released_epoch = 0;
  /// How long ago the platform proved `epoch` the newest; negative: never.
  std::chrono::microseconds proof_age{-1};
};

/// State of an upstream handed over by its last steward.
struct handover {
  std::string upstream;
  std::string state;  ///< Encoded by the stewards duty, opaque to others.
};

/// Passes upstreams to the steward that `epoch` names; repeated until
/// acknowledged.
struct stewardship_handover {
  std::uint64_t epoch = 0;
  std::vector<handover> upstreams;
};

struct stewardship_handover_ack {
  std::uint64_t epoch = 0;
};

/// What the control duties of two instances say to each other.
using control_message =
    std::variant<probe, probe_reply, probe_request, member_list,
                 version_summary, version_digest, object_request, object_reply,
                 standing_request, standing_reply, stewardship_handover,
                 stewardship_handover_ack>;

}  // namespace papayaglade

#endif  // PAPAYAGLADE_STATE_CONTROL_MESSAGE_H_
