#ifndef PAPAYAGLADE_APP_BENCH_CONNECTION_POOL_H_
#define PAPAYAGLADE_APP_BENCH_CONNECTION_POOL_H_

#include <chrono>
#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "transport/http_connection.h"

namespace papayaglade {

/// A bounded pool of keep-alive connections to one server. Requests beyond the
/// bound are queued in order of arrival.
class bench_connection_pool {
 public:
  using done_handler = std::function<void(const http_connection::outcome&)>;

  bench_connection_pool(boost::asio::io_context& io, endpoint server,
                        std::size_t max_connections,
                        std::chrono::milliseconds timeout);

  /// Sends a request as soon as a connection is available. `done` is called
  /// once.
  void Send(http_request request, done_handler done);
  /// Returns the number of requests that are queued or in flight.
  std::size_t PendingCount() const { return queue_.size() + in_flight_; }

 private:
  using connection_pointer = std::shared_ptr<http_connection>;
  struct queued_request {
    http_request request;
    done_handler done;
  };

  /// Starts queued requests while connections are available.
  void StartQueued();
  void Exchange(const connection_pointer& connection, queued_request next);
  void Finish(const done_handler& done, const http_connection::outcome& result);

  boost::asio::io_context& io_;
  endpoint server_;
  std::size_t max_connections_;
  std::chrono::milliseconds timeout_;
  std::vector<connection_pointer> idle_connections_;
  std::size_t in_flight_ = 0;
  std::deque<queued_request> queue_;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_APP_BENCH_CONNECTION_POOL_H_
