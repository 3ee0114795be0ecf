#ifndef PAPAYAGLADE_TRANSPORT_IO_INBOX_H_
#define PAPAYAGLADE_TRANSPORT_IO_INBOX_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <cstddef>
#include <functional>
#include <mutex>
#include <utility>
#include <vector>

namespace papayaglade {

/// A bounded queue into an I/O thread. Any thread may push. The handler runs on
/// the thread of `io`, and one wake-up handles all queued items.
template <typename T>
class io_inbox {
 public:
  io_inbox(boost::asio::io_context& io, std::size_t capacity,
           std::function<void(T)> handler)
      : io_(io), capacity_(capacity), handler_(std::move(handler)) {}

  /// Queues `item`. Returns false and drops it if the queue is full.
  bool TryPush(T item) {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (items_.size() >= capacity_) return false;
    items_.push_back(std::move(item));
    if (scheduled_) return true;
    scheduled_ = true;
    boost::asio::post(io_, [this] { Drain(); });
    return true;
  }

 private:
  void Drain() {
    // Swapping reuses the capacity of both vectors and avoids allocations.
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      batch_.swap(items_);
      scheduled_ = false;
    }
    for (T& item : batch_) handler_(std::move(item));
    batch_.clear();
  }

  boost::asio::io_context& io_;
  std::mutex mutex_;
  const std::size_t capacity_;
  std::vector<T> items_;
  std::vector<T> batch_;    // Only used on the thread of `io_`.
  bool scheduled_ = false;  // Drain has been posted and has not run yet.
  std::function<void(T)> handler_;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_TRANSPORT_IO_INBOX_H_
