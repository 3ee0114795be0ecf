#ifndef PAPAYAGLADE_APP_BENCH_CONNECTIONS_H_
#define PAPAYAGLADE_APP_BENCH_CONNECTIONS_H_

#include <chrono>
#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "transport/http_connection.h"

namespace papayaglade {

/// A bounded pool of kept-alive connections to one server. Requests over the
/// bound wait their turn.
class bench_connections {
 public:
  using done_handler = std::function<void(const http_connection::outcome&)>;

  bench_connections(boost::asio::io_context& io, endpoint server,
                    std::size_t connections, std::chrono::milliseconds timeout);

  void Ask(http_request request, done_handler done);
  /// Requests waiting or in progress.
  std::size_t Load() const { return waiting_.size() + busy_; }

 private:
  using connection_pointer = std::shared_ptr<http_connection>;
  struct item {
    http_request request;
    done_handler done;
  };

  void Pump();
  void Exchange(const connection_pointer& connection, item next);
  void Finish(const done_handler& done, const http_connection::outcome& result);

  boost::asio::io_context& io_;
  endpoint server_;
  std::size_t connections_;
  std::chrono::milliseconds timeout_;
  std::vector<connection_pointer> idle_;
  std::size_t busy_ = 0;
  std::deque<item> waiting_;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_APP_BENCH_CONNECTIONS_H_
