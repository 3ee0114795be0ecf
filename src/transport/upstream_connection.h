#ifndef PAPAYAGLADE_TRANSPORT_UPSTREAM_CONNECTION_H_
#define PAPAYAGLADE_TRANSPORT_UPSTREAM_CONNECTION_H_

#include <boost/asio/basic_stream_socket.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>

#include "state/events.h"

namespace papayaglade {

/// Receives the events of an upstream connection on the thread of its
/// io_context.
class upstream_connection_listener {
 public:
  virtual ~upstream_connection_listener() = default;
  virtual void OnConnected(std::uint64_t connection_id) = 0;
  virtual void OnReply(exchange_reply reply) = 0;
  /// Called after the connection failed and closed. This is its last event.
  virtual void OnBroken(const connection_failed& failure) = 0;
};

/// An HTTP/1.1 connection to an upstream that runs one exchange at a time. It
/// also reads while idle, so that it detects a close by the upstream at once.
class upstream_connection
    : public std::enable_shared_from_this<upstream_connection> {
 public:
  /// `listener` must stay valid until Close or the end of the connection.
  upstream_connection(boost::asio::io_context& io, std::uint64_t id,
                      upstream_connection_listener& listener);

  void Connect(const endpoint& target, std::chrono::milliseconds timeout);
  void Exchange(send_exchange command);

  /// Resets the connection, so that unsent data is discarded and not delivered
  /// later.
  void Close();

 private:
  using executor = boost::asio::io_context::executor_type;
  using tcp = boost::asio::ip::tcp;
  using parser =
      boost::beast::http::response_parser<boost::beast::http::string_body>;

  void OnConnect(const boost::system::error_code& failed);
  void Read();
  void OnRead(const boost::system::error_code& failed);
  void OnWritten(const boost::system::error_code& failed, std::size_t bytes);
  void Fail(connection_failure reason, bool nothing_sent);

  const std::uint64_t id_;
  upstream_connection_listener& listener_;
  boost::asio::basic_stream_socket<tcp, executor> socket_;
  boost::asio::steady_timer connect_timer_;
  boost::beast::flat_buffer buffer_;
  boost::beast::http::request<boost::beast::http::string_body> request_;
  std::optional<parser> parser_;
  std::uint64_t exchange_id_ = 0;  // Current exchange; zero while idle.
  bool closed_ = false;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_TRANSPORT_UPSTREAM_CONNECTION_H_
