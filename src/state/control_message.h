#ifndef PAPAYAGLADE_STATE_CONTROL_MESSAGE_H_
#define PAPAYAGLADE_STATE_CONTROL_MESSAGE_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace papayaglade {

/// Asks a peer to prove that it is alive.
struct probe {
  std::uint64_t sequence = 0;
};

/// Answers a probe.
struct probe_reply {
  std::uint64_t sequence = 0;
};

/// Asks a peer of the own data centre for the newest roster epoch it knows.
struct standing_question {
  std::uint64_t sequence = 0;
  std::uint64_t epoch = 0;  ///< The newest the sender knows.
};

/// Answers a standing_question; see docs/design/stewardship.md.
struct standing_answer {
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
    std::variant<probe, probe_reply, standing_question, standing_answer,
                 stewardship_handover, stewardship_handover_ack>;

}  // namespace papayaglade

#endif  // PAPAYAGLADE_STATE_CONTROL_MESSAGE_H_
