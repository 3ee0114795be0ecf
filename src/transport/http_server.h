#ifndef PAPAYAGLADE_TRANSPORT_HTTP_SERVER_H_
#define PAPAYAGLADE_TRANSPORT_HTTP_SERVER_H_

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "protocol/http_message.h"
#include "state/identity.h"
#include "state/instance_settings.h"
#include "state/time.h"

namespace papayaglade {

/// An answer that its caller has not taken whole.
struct unwritten_answer {
  std::string request_id;
  monotonic_time read_at;  ///< When the request was read.
};

/// An HTTP/1.1 server that runs on its own thread and enforces `port_limits`.
class http_server {
 public:
  using responder = std::function<void(http_response)>;
  /// Called on the server's thread; must not block. The responder may be
  /// called once, from any thread, during the call or later.
  using handler = std::function<void(http_request, responder)>;

  /// `name` becomes the thread's name and has at most 15 characters.
  http_server(std::string name, const port_limits& limits, handler handler);
  ~http_server();

  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;

  /// Binds `address` and listens on it. Returns an empty string on success,
  /// otherwise the error.
  std::string Listen(const endpoint& address);
  /// Binds `address`; connections to it are refused until StartListening.
  /// Returns an empty string on success, otherwise the error.
  std::string Bind(const endpoint& address);
  /// Starts the server's thread.
  void Start();
  /// Listens on the bound address. Does nothing if the server listens already
  /// or drains. May be called from any thread once Start was called.
  void StartListening();

  /// Accepts the connections in the backlog, stops listening, finishes all
  /// requests in progress, and closes kept-alive connections that have been
  /// idle for `min_idle`. Calls `done` on the server's thread when no
  /// connection is left.
  void Drain(std::chrono::milliseconds min_idle, std::function<void()> done);

  /// Stops the thread at once; requests in progress are not answered.
  void Stop();
  /// Returns the answers that Stop left unwritten, in whole or in part.
  std::vector<unwritten_answer> Unwritten() const;

 private:
  class implementation;
  std::unique_ptr<implementation> implementation_;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_TRANSPORT_HTTP_SERVER_H_
