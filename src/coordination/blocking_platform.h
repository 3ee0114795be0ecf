#ifndef PAPAYAGLADE_COORDINATION_BLOCKING_PLATFORM_H_
#define PAPAYAGLADE_COORDINATION_BLOCKING_PLATFORM_H_

#include <chrono>

#include "state/platform_messages.h"

namespace papayaglade {

/// Blocking access to the platform for command-line programs.
class blocking_platform {
 public:
  virtual ~blocking_platform() = default;

  /// Makes one call and returns its reply.
  virtual platform_reply Call(const platform_operation& operation) = 0;

  /// Waits between two attempts of the same call.
  virtual void Pause(std::chrono::milliseconds length) = 0;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_COORDINATION_BLOCKING_PLATFORM_H_
