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

/// One HTTP port on a shared `io_context`, with faults that tests switch on.
class http_port {
 public:
  /// Answers later from the same thread; nothing resets the connection.
  using responder = std::function<void(std::optional<http_response>)>;
  using handler = std::function<void(const http_request&, const responder&)>;

  http_port(boost::asio::io_context& io, std::uint16_t port, handler handler);
  ~http_port();

  http_port(const http_port&) = delete;
  http_port& operator=(const http_port&) = delete;

  /// Returns whether the port could be bound.
  bool Open();
  /// Refuses new connections and resets the open ones.
  void Close();
  /// The connections open now are held, never read and never answered; they
  /// count as open until `hold` has passed. New ones work.
  void SilenceOpenConnections(std::chrono::milliseconds hold);
  /// Resets a connection that would exceed the limit.
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

/// Closes `socket` so that its other end sees a reset.
void ResetSocket(boost::asio::ip::tcp::socket& socket);

}  // namespace papayaglade

#endif  // PAPAYAGLADE_TESTS_STANDIN_HTTP_PORT_H_
