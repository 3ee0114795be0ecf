#ifndef PAPAYAGLADE_COORDINATION_MEMORY_SHARES_H_
#define PAPAYAGLADE_COORDINATION_MEMORY_SHARES_H_

#include <cstddef>

namespace papayaglade {

/// Limits, in bytes, of what callers and upstreams may make an instance hold.
struct memory_shares {
  /// Of requests that are received or in progress.
  std::size_t requests = 42UL * 1000 * 1000;
  /// Of unread answers, beyond which no more requests are run.
  std::size_t unread_answers_to_run = 64UL * 1024 * 1024;
  /// Of unread answers, beyond which connections are closed.
  std::size_t unread_answers = 96UL * 1024 * 1024;
  /// Of answers that are being received.
  std::size_t answers = 31UL * 1000 * 1000;
};

/// Returns the shares of a process that may use `memory_bytes` in all.
memory_shares ShareMemory(std::size_t memory_bytes);

}  // namespace papayaglade

#endif  // PAPAYAGLADE_COORDINATION_MEMORY_SHARES_H_
