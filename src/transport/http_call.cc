#include "transport/http_call.h"

#include <boost/asio/io_context.hpp>
#include <memory>
#include <utility>

namespace papayaglade {

http_connection::outcome CallHttp(const endpoint& target, http_request request,
                                  std::chrono::milliseconds timeout) {
  boost::asio::io_context io;
  const auto connection = std::make_shared<http_connection>(io);
  http_connection::outcome result;
  const auto on_exchange = [&](http_connection::outcome outcome) {
    result = std::move(outcome);
  };
  const auto on_connected = [&](std::optional<http_failure> failure) {
    if (failure.has_value()) {
      result.failure = failure;
      return;
    }
    connection->Exchange(std::move(request), timeout, on_exchange);
  };
  connection->Connect(target, timeout, on_connected);
  io.run();
  return result;
}

}  // namespace papayaglade
