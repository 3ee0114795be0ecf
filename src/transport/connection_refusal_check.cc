#include "transport/connection_refusal_check.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <memory>
#include <utility>

namespace papayaglade {

void CheckConnectionRefused(boost::asio::io_context& io, const endpoint& target,
                            std::chrono::milliseconds timeout,
                            std::function<void(bool refused)> done) {
  using boost::system::error_code;
  error_code malformed;
  const auto address = boost::asio::ip::make_address(target.address, malformed);
  if (malformed) return done(false);
  const auto stream = std::make_shared<boost::beast::tcp_stream>(io);
  stream->expires_after(timeout);
  stream->async_connect(
      boost::asio::ip::tcp::endpoint(address, target.port),
      [stream, done = std::move(done)](const error_code& failed) {
        done(failed == boost::asio::error::connection_refused);
      });
}

}  // namespace papayaglade
