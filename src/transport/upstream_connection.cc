#include "transport/upstream_connection.h"

#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <utility>

namespace papayaglade {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;

namespace {

constexpr std::uint64_t kMaxReplyBytes = 16ULL * 1024 * 1024;
constexpr int kHttp11 = 11;

connection_failure ClassifyError(const error_code& failed) {
  if (failed == asio::error::connection_refused) {
    return connection_failure::kRefused;
  }
  const bool broken = failed == http::error::end_of_stream ||
                      failed == http::error::partial_message;
  const auto& http_category =
      make_error_code(http::error::end_of_stream).category();
  if (!broken && failed.category() == http_category) {
    return connection_failure::kMalformed;
  }
  return connection_failure::kReset;
}

}  // namespace

upstream_connection::upstream_connection(asio::io_context& io, std::uint64_t id,
                                         upstream_connection_listener& listener)
    : id_(id),
      listener_(listener),
      socket_(io.get_executor()),
      connect_timer_(io) {
  request_.version(kHttp11);
  request_.set(http::field::host, "papayaglade");
}

void upstream_connection::Connect(const endpoint& target,
                                  std::chrono::milliseconds timeout) {
  error_code ignored;
  const auto address = asio::ip::make_address(target.address, ignored);
  const auto self = shared_from_this();
  connect_timer_.expires_after(timeout);
  connect_timer_.async_wait([self](const error_code& cancelled) {
    if (!cancelled) self->Fail(connection_failure::kTimedOut, true);
  });
  socket_.async_connect(
      {address, target.port},
      [self](const error_code& failed) { self->OnConnect(failed); });
}

void upstream_connection::Exchange(send_exchange command) {
  exchange_id_ = command.exchange_id;
  // The process may have been suspended since the command was queued.
  if (monotonic_clock::now() > command.send_deadline) {
    return Fail(connection_failure::kTimedOut, true);
  }
  // `request_` is reused between exchanges, so only changed fields are set.
  request_.method_string(command.method);
  request_.target(command.target);
  if (command.body.empty()) {
    request_.erase(http::field::content_type);
  } else {
    request_.set(http::field::content_type, "application/json");
  }
  request_.body() = std::move(command.body);
  request_.prepare_payload();
  http::async_write(
      socket_, request_,
      [self = shared_from_this()](const error_code& failed, std::size_t bytes) {
        self->OnWritten(failed, bytes);
      });
}

void upstream_connection::Close() {
  if (closed_) return;
  closed_ = true;
  connect_timer_.cancel();
  error_code ignored;
  socket_.set_option(asio::socket_base::linger(true, 0), ignored);
  socket_.close(ignored);
}

void upstream_connection::OnConnect(const error_code& failed) {
  if (closed_) return;
  connect_timer_.cancel();
  if (failed) return Fail(ClassifyError(failed), true);
  error_code ignored;
  socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
  listener_.OnConnected(id_);
  if (!closed_) Read();
}

void upstream_connection::Read() {
  parser_.emplace();
  parser_->body_limit(kMaxReplyBytes);
  http::async_read(
      socket_, buffer_, *parser_,
      [self = shared_from_this()](const error_code& failed, std::size_t) {
        self->OnRead(failed);
      });
}

void upstream_connection::OnRead(const error_code& failed) {
  if (closed_) return;
  if (failed) return Fail(ClassifyError(failed), false);
  // An unsolicited reply means that requests and replies are out of step.
  if (exchange_id_ == 0) return Fail(connection_failure::kMalformed, false);
  auto& message = parser_->get();
  exchange_reply reply{id_, std::exchange(exchange_id_, 0),
                       static_cast<int>(message.result_int()),
                       std::move(message.body()), message.keep_alive()};
  listener_.OnReply(std::move(reply));
  if (!closed_) Read();
}

void upstream_connection::OnWritten(const error_code& failed,
                                    std::size_t bytes) {
  if (closed_ || !failed) return;
  Fail(ClassifyError(failed), bytes == 0);
}

void upstream_connection::Fail(connection_failure reason, bool nothing_sent) {
  if (closed_) return;
  Close();
  listener_.OnBroken({id_, reason, nothing_sent, exchange_id_});
}

}  // namespace papayaglade
