#ifndef PAPAYAGLADE_TRANSPORT_CALLER_PORT_H_
#define PAPAYAGLADE_TRANSPORT_CALLER_PORT_H_

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <memory>
#include <set>
#include <string>

#include "coordination/memory_budget.h"
#include "coordination/memory_shares.h"
#include "transport/caller_connection.h"

namespace papayaglade {

/// Listens on an HTTP/1.1 port and owns the connections accepted there. Bounds
/// the memory of requests and of answers that callers do not read.
class caller_port : private caller_connection::owner {
 public:
  /// Interface that answers the requests received on a port.
  class service {
   public:
    virtual ~service() = default;
    virtual caller_limits Limits() const = 0;
    virtual void OnRequest(const std::shared_ptr<caller_connection>& from,
                           caller_message message) = 0;
    virtual void OnMalformed(const std::shared_ptr<caller_connection>& from,
                             bool too_large) = 0;
    /// Called when there is no memory for the body of a request, of which
    /// `message` holds the head. Answers with Respond and `close` set; unless
    /// overridden, as if the request were too large.
    virtual void OnNoMemory(const std::shared_ptr<caller_connection>& from,
                            const caller_message& /*message*/) {
      OnMalformed(from, true);
    }
  };

  /// Beyond `max_connections`, idle connections are closed to make room; if
  /// there are none, new connections wait in the backlog.
  caller_port(loop_context& loop, service& service, std::size_t max_connections,
              const memory_shares& memory = {});

  /// Binds `address` and listens on it. Returns an empty string on success,
  /// otherwise the error.
  std::string Listen(const endpoint& address);

  void CloseIdleConnections();
  /// Accepts the connections in the backlog, then stops listening.
  void StopAccepting();
  /// Closes all connections at once, because the process ends.
  void CloseAllConnections();
  bool IsListening() const { return acceptor_.is_open(); }
  std::size_t ConnectionCount() const { return connections_.size(); }

 private:
  caller_limits Limits() const override;
  void OnRequest(const std::shared_ptr<caller_connection>& from,
                 caller_message message) override;
  void OnMalformed(const std::shared_ptr<caller_connection>& from,
                   bool too_large) override;
  void OnNoMemory(const std::shared_ptr<caller_connection>& from,
                  const caller_message& message) override;
  const std::shared_ptr<memory_budget>& RequestMemory() const override {
    return request_memory_;
  }
  void OnHeldBytes(const caller_connection& of, std::size_t before,
                   std::size_t after) override;
  bool HasRoomForAnswers() const override;
  void OnClosed(const std::shared_ptr<caller_connection>& from) override;

  void WaitForConnection();
  /// Called when connections may be waiting in the backlog.
  void OnBacklog();
  void RetryLater();
  /// Accepts from the backlog up to the limit. Returns false if accepting
  /// fails, as when the process has no free descriptor.
  bool AcceptPending();
  bool IsFull() const { return connections_.size() >= max_connections_; }
  /// Closes the connection whose unwritten answer has made no progress for the
  /// longest time, except `kept`. Returns false if there is none.
  bool CloseLongestUnread(const caller_connection& kept);
  /// Closes an idle connection. Returns whether another one may be accepted.
  bool MakeRoom();

  loop_context& loop_;
  service& service_;
  std::size_t max_connections_;
  memory_shares memory_;
  /// Shared with the connections, which others may keep for longer.
  std::shared_ptr<memory_budget> request_memory_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::set<std::shared_ptr<caller_connection>> connections_;
  std::size_t held_bytes_ = 0;  ///< Sizes of all answers that are not written.
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_TRANSPORT_CALLER_PORT_H_
