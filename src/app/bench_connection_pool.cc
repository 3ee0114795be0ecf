#include "app/bench_connection_pool.h"

#include <utility>

namespace papayaglade {

bench_connection_pool::bench_connection_pool(boost::asio::io_context& io,
                                             endpoint server,
                                             std::size_t max_connections,
                                             std::chrono::milliseconds timeout)
    : io_(io),
      server_(std::move(server)),
      max_connections_(max_connections),
      timeout_(timeout) {}

void bench_connection_pool::Send(http_request request, done_handler done) {
  queue_.push_back({std::move(request), std::move(done)});
  StartQueued();
}

void bench_connection_pool::StartQueued() {
  while (!queue_.empty() && in_flight_ < max_connections_) {
    queued_request next = std::move(queue_.front());
    queue_.pop_front();
    ++in_flight_;
    if (!idle_connections_.empty()) {
      const connection_pointer connection = std::move(idle_connections_.back());
      idle_connections_.pop_back();
      Exchange(connection, std::move(next));
      continue;
    }
    const auto connection = std::make_shared<http_connection>(io_);
    connection->Connect(server_, timeout_,
                        [this, connection, next = std::move(next)](
                            std::optional<http_failure> failure) mutable {
                          if (!failure.has_value()) {
                            return Exchange(connection, std::move(next));
                          }
                          http_connection::outcome result;
                          result.failure = failure;
                          Finish(next.done, result);
                        });
  }
}

void bench_connection_pool::Exchange(const connection_pointer& connection,
                                     queued_request next) {
  connection->Exchange(std::move(next.request), timeout_,
                       [this, connection, done = std::move(next.done)](
                           const http_connection::outcome& result) {
                         const bool reusable =
                             !result.failure.has_value() && result.keep_alive;
                         if (reusable) {
                           idle_connections_.push_back(connection);
                         } else {
                           connection->Close();
                         }
                         Finish(done, result);
                       });
}

void bench_connection_pool::Finish(const done_handler& done,
                                   const http_connection::outcome& result) {
  --in_flight_;
  done(result);
  StartQueued();
}

}  // namespace papayaglade
