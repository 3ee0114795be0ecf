#include "http_port.h"

#include <algorithm>
#include <boost/asio/ip/address_v4.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <memory>
#include <utility>
#include <vector>

namespace papayaglade {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr std::uint64_t kMaxBodyBytes = 8ULL * 1024 * 1024;
constexpr int kHttp11 = 11;

}  // namespace

void ResetSocket(tcp::socket& socket) {
  error_code ignored;
  socket.set_option(asio::socket_base::linger(true, 0), ignored);
  socket.close(ignored);
}

// Serves the requests of one connection in order.
class http_port::session : public std::enable_shared_from_this<session> {
 public:
  session(http_port& port, tcp::socket socket)
      : port_(&port), socket_(std::move(socket)), hold_timer_(port.io_) {
    port.sessions_.insert(this);
  }

  ~session() { Detach(); }

  session(const session&) = delete;
  session& operator=(const session&) = delete;

  void Read() {
    parser_.emplace();
    parser_->body_limit(kMaxBodyBytes);
    http::async_read(
        socket_, buffer_, *parser_,
        [self = shared_from_this()](error_code failed, std::size_t) {
          if (failed || self->silent_) return;
          self->Dispatch();
        });
  }

  void Reset() {
    ResetSocket(socket_);
    Detach();
  }

  void Silence(std::chrono::milliseconds hold) {
    if (silent_) return;
    silent_ = true;
    error_code ignored;
    socket_.cancel(ignored);
    hold_timer_.expires_after(hold);
    hold_timer_.async_wait(
        [self = shared_from_this()](error_code) { self->Reset(); });
  }

  void Detach() {
    if (port_ != nullptr) port_->sessions_.erase(this);
    port_ = nullptr;
  }

 private:
  void Dispatch() {
    if (port_ == nullptr) return;
    const auto& message = parser_->get();
    const http_request request{std::string(message.method_string()),
                               std::string(message.target()), "",
                               message.body()};
    port_->handler_(request, [self = shared_from_this()](
                                 std::optional<http_response> response) {
      self->Answer(std::move(response));
    });
  }

  void Answer(std::optional<http_response> response) {
    if (silent_ || port_ == nullptr) return;
    if (!response.has_value()) return Reset();
    response_ = {static_cast<http::status>(response->status), kHttp11};
    response_.set(http::field::content_type, response->content_type);
    response_.body() = std::move(response->body);
    response_.keep_alive(parser_->get().keep_alive());
    response_.prepare_payload();
    http::async_write(
        socket_, response_,
        [self = shared_from_this()](error_code failed, std::size_t) {
          if (failed || self->silent_) return;
          if (self->response_.keep_alive()) self->Read();
        });
  }

  http_port* port_;  // The port; null after Detach.
  tcp::socket socket_;
  asio::steady_timer hold_timer_;
  boost::beast::flat_buffer buffer_;
  std::optional<http::request_parser<http::string_body>> parser_;
  http::response<http::string_body> response_;
  bool silent_ = false;
};

http_port::http_port(asio::io_context& io, std::uint16_t port, handler handler)
    : io_(io),
      listen_endpoint_(asio::ip::address_v4::loopback(), port),
      handler_(std::move(handler)),
      acceptor_(io) {}

http_port::~http_port() {
  const std::vector<session*> open(sessions_.begin(), sessions_.end());
  for (session* each : open) each->Detach();
}

bool http_port::Open() {
  if (acceptor_.is_open()) return true;
  error_code failed;
  acceptor_.open(listen_endpoint_.protocol(), failed);
  if (!failed) acceptor_.set_option(tcp::acceptor::reuse_address(true));
  if (!failed) acceptor_.bind(listen_endpoint_, failed);
  if (!failed) acceptor_.listen(tcp::acceptor::max_listen_connections, failed);
  if (failed) {
    acceptor_.close();
    return false;
  }
  Accept();
  return true;
}

void http_port::Close() {
  error_code ignored;
  acceptor_.close(ignored);
  const std::vector<session*> open(sessions_.begin(), sessions_.end());
  for (session* each : open) each->Reset();
}

void http_port::SilenceOpenConnections(std::chrono::milliseconds hold) {
  const std::vector<session*> open(sessions_.begin(), sessions_.end());
  for (session* each : open) each->Silence(hold);
}

void http_port::Accept() {
  acceptor_.async_accept([this](error_code failed, tcp::socket socket) {
    if (failed == asio::error::operation_aborted) return;
    if (!failed && sessions_.size() >= connection_limit_) {
      ++refused_connections_;
      ResetSocket(socket);
    } else if (!failed) {
      error_code ignored;
      socket.set_option(tcp::no_delay(true), ignored);
      std::make_shared<session>(*this, std::move(socket))->Read();
      peak_connections_ = std::max(peak_connections_, sessions_.size());
    }
    if (acceptor_.is_open()) Accept();
  });
}

}  // namespace papayaglade
