#ifndef PAPAYAGLADE_STATE_CONTROL_MESSAGE_H_
#define PAPAYAGLADE_STATE_CONTROL_MESSAGE_H_

#include <cstdint>
#include <variant>

namespace papayaglade {

/// Asks a peer to prove that it is alive.
struct probe {
  std::uint64_t sequence = 0;
};

/// Answers a probe.
struct probe_reply {
  std::uint64_t sequence = 0;
};

/// What the control duties of two instances say to each other.
using control_message = std::variant<probe, probe_reply>;

}  // namespace papayaglade

#endif  // PAPAYAGLADE_STATE_CONTROL_MESSAGE_H_
