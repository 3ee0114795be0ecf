#include "app/bench_connections.h"

#include <utility>

namespace papayaglade {

bench_connections::bench_connections(boost::asio::io_context& io,
                                     endpoint server, std::size_t connections,
                                     std::chrono::milliseconds timeout)
    : io_(io),
      server_(std::move(server)),
      connections_(connections),
      timeout_(timeout) {}

void bench_connections::Ask(http_request request, done_handler done) {
  waiting_.push_back({std::move(request), std::move(done)});
  Pump();
}

void bench_connections::Pump() {
  while (!waiting_.empty() && busy_ < connections_) {
    item next = std::move(waiting_.front());
    waiting_.pop_front();
    ++busy_;
    if (!idle_.empty()) {
      const connection_pointer connection = std::move(idle_.back());
      idle_.pop_back();
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

void bench_connections::Exchange(const connection_pointer& connection,
                                 item next) {
  connection->Exchange(std::move(next.request), timeout_,
                       [this, connection, done = std::move(next.done)](
                           const http_connection::outcome& result) {
                         const bool reusable =
                             !result.failure.has_value() && result.keep_alive;
                         if (reusable) {
                           idle_.push_back(connection);
                         } else {
                           connection->Close();
                         }
                         Finish(done, result);
                       });
}

void bench_connections::Finish(const done_handler& done,
                               const http_connection::outcome& result) {
  --busy_;
  done(result);
  Pump();
}

}  // namespace papayaglade
