#ifndef PAPAYAGLADE_TESTS_STANDIN_HTTP_PORT_H_
#define PAPAYAGLADE_TESTS_STANDIN_HTTP_PORT_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <unordered_set>

#include "protocol/http_message.h"

namespace papayaglade {

/// An HTTP server on one port of a shared `io_context`. Tests can inject
/// connection faults.
class http_port {
 public:
  /// Sends the response, or resets the connection if it is empty. May be called
  /// later, on the same thread.
  using responder = std::function<void(std::optional<http_response>)>;
  using handler = std::function<void(const http_request&, const responder&)>;

  http_port(boost::asio::io_context& io, std::uint16_t port, handler handler);
  ~http_port();

  http_port(const http_port&) = delete;
  http_port& operator=(const http_port&) = delete;

  /// Starts listening. Returns false if the port cannot be bound.
  bool Open();
  /// Refuses new connections and resets the open ones.
  void Close();
  /// Stops reading and answering on all open connections and resets them after
  /// `hold`, until when they count as open. New connections work as usual.
  void SilenceOpenConnections(std::chrono::milliseconds hold);
  /// Sets the maximum number of open connections. Further ones are reset.
  void SetConnectionLimit(std::size_t limit) { connection_limit_ = limit; }

  std::size_t ConnectionCount() const { return sessions_.size(); }
  std::size_t PeakConnections() const { return peak_connections_; }
  std::uint64_t RefusedConnections() const { return refused_connections_; }

 private:
  class session;

  void Accept();

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::endpoint listen_endpoint_;
  handler handler_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::unordered_set<session*> sessions_;
  std::size_t connection_limit_ = SIZE_MAX;
  std::size_t peak_connections_ = 0;
  std::uint64_t refused_connections_ = 0;
};

/// Closes `socket` with a TCP reset.
void ResetSocket(boost::asio::ip::tcp::socket& socket);

}  // namespace papayaglade

#endif  // PAPAYAGLADE_TESTS_STANDIN_HTTP_PORT_H_
