#ifndef PAPAYAGLADE_STATE_RING_H_
#define PAPAYAGLADE_STATE_RING_H_

#include <boost/fiber/buffered_channel.hpp>
#include <cstddef>
#include <utility>

#include "state/time.h"

namespace papayaglade {

/// A bounded queue of events for one worker. Any thread may push, and pushing
/// never blocks.
template <typename T>
class ring {
 public:
  /// `capacity` must be a power of two of at least 2.
  explicit ring(std::size_t capacity) : channel_(capacity) {}

  /// Returns false and drops `item` if the ring is full or closed.
  bool TryPush(T item) {
    return channel_.try_push(std::move(item)) ==
           boost::fibers::channel_op_status::success;
  }

  /// Suspends the calling fiber until an item arrives. Returns false once the
  /// ring is closed.
  bool Pop(T& item) {
    return channel_.pop(item) == boost::fibers::channel_op_status::success;
  }

  /// Takes an item without waiting. Returns false if there is none.
  bool TryPop(T& item) {
    return channel_.try_pop(item) == boost::fibers::channel_op_status::success;
  }

  /// Like Pop, but also returns false once `deadline` has passed.
  bool PopUntil(T& item, monotonic_time deadline) {
    return channel_.pop_wait_until(item, deadline) ==
           boost::fibers::channel_op_status::success;
  }

  /// Wakes all waiting fibers. Later pushes fail.
  void Close() { channel_.close(); }

 private:
  boost::fibers::buffered_channel<T> channel_;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_STATE_RING_H_
