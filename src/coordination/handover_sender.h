#ifndef PAPAYAGLADE_COORDINATION_HANDOVER_SENDER_H_
#define PAPAYAGLADE_COORDINATION_HANDOVER_SENDER_H_

#include <cstdint>
#include <string>
#include <vector>

#include "state/control_message.h"
#include "state/time.h"

namespace papayaglade {

/// A control message for one peer.
struct send_control {
  std::string peer;
  control_message message;
};

/// Repeats handovers until the new stewards acknowledge them or they time out.
class handover_sender {
 public:
  void Add(const std::string& steward, stewardship_handover message,
           monotonic_time now);
  void OnAcknowledged(const std::string& steward, std::uint64_t epoch);
  /// Returns the messages to send now and schedules their repetition.
  std::vector<send_control> TakeDue(monotonic_time now);
  bool IsIdle() const { return unacknowledged_.empty(); }

 private:
  struct unacknowledged_handover {
    std::string steward;
    stewardship_handover message;
    monotonic_time next_send;
    monotonic_time deadline;
  };

  std::vector<unacknowledged_handover> unacknowledged_;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_COORDINATION_HANDOVER_SENDER_H_
