#ifndef PAPAYAGLADE_COORDINATION_BLOCKING_PLATFORM_H_
#define PAPAYAGLADE_COORDINATION_BLOCKING_PLATFORM_H_

#include <chrono>

#include "state/platform_messages.h"

namespace papayaglade {

/// The platform as command-line programs see it: a call returns its reply.
class blocking_platform {
 public:
  virtual ~blocking_platform() = default;

  /// Makes one call.
  virtual platform_reply Call(const platform_operation& operation) = 0;

  /// Waits between two tries of the same call.
  virtual void Pause(std::chrono::milliseconds length) = 0;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_COORDINATION_BLOCKING_PLATFORM_H_
