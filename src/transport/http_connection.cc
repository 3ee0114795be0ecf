#include "transport/http_connection.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <utility>

namespace papayaglade {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr std::uint64_t kMaxReplyBytes = 16ULL * 1024 * 1024;
constexpr int kHttp11 = 11;

http_failure ClassifyError(const error_code& failed) {
  if (failed == asio::error::connection_refused) return http_failure::kRefused;
  if (failed == beast::error::timeout) return http_failure::kTimedOut;
  const bool broken = failed == http::error::end_of_stream ||
                      failed == http::error::partial_message;
  const auto& http_category =
      make_error_code(http::error::end_of_stream).category();
  if (!broken && failed.category() == http_category) {
    return http_failure::kMalformed;
  }
  return http_failure::kReset;
}

}  // namespace

http_connection::http_connection(asio::io_context& io) : stream_(io) {}

void http_connection::Connect(const endpoint& target,
                              std::chrono::milliseconds timeout,
                              connect_handler done) {
  error_code failed;
  const auto address = asio::ip::make_address(target.address, failed);
  const tcp::endpoint remote(address, target.port);
  SetTimeout(timeout);
  stream_.async_connect(remote, [self = shared_from_this(),
                                 done = std::move(done)](error_code failed) {
    if (self->closed_) return;
    if (failed) return done(ClassifyError(failed));
    error_code ignored;
    self->stream_.socket().set_option(tcp::no_delay(true), ignored);
    done(std::nullopt);
  });
}

void http_connection::Exchange(http_request request,
                               std::chrono::milliseconds timeout,
                               exchange_handler done) {
  done_ = std::move(done);
  request_ = {http::string_to_verb(request.method), request.target, kHttp11};
  request_.set(http::field::host, "papayaglade");
  if (!request.body.empty()) {
    request_.set(http::field::content_type, "application/json");
  }
  request_.body() = std::move(request.body);
  request_.prepare_payload();
  SetTimeout(timeout);
  http::async_write(
      stream_, request_,
      [self = shared_from_this()](error_code failed, std::size_t) {
        if (failed) return self->Finish({ClassifyError(failed), 0, "", false});
        self->Read();
      });
}

void http_connection::Close() {
  closed_ = true;
  done_ = nullptr;
  error_code ignored;
  stream_.socket().close(ignored);
}

void http_connection::SetTimeout(std::chrono::milliseconds timeout) {
  if (timeout.count() == 0) {
    stream_.expires_never();
  } else {
    stream_.expires_after(timeout);
  }
}

void http_connection::Read() {
  parser_.emplace();
  parser_->body_limit(kMaxReplyBytes);
  http::async_read(
      stream_, buffer_, *parser_,
      [self = shared_from_this()](error_code failed, std::size_t) {
        if (failed) return self->Finish({ClassifyError(failed), 0, "", false});
        auto& message = self->parser_->get();
        self->Finish({std::nullopt, static_cast<int>(message.result_int()),
                      std::move(message.body()), message.keep_alive()});
      });
}

void http_connection::Finish(outcome result) {
  if (closed_) return;
  // The handler may start the next exchange, which sets `done_` again.
  const exchange_handler done = std::exchange(done_, nullptr);
  if (done) done(std::move(result));
}

}  // namespace papayaglade
