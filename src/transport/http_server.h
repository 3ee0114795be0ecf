#ifndef PAPAYAGLADE_TRANSPORT_HTTP_SERVER_H_
#define PAPAYAGLADE_TRANSPORT_HTTP_SERVER_H_

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include "protocol/http_message.h"
#include "state/identity.h"
#include "state/instance_settings.h"

namespace papayaglade {

/// An HTTP/1.1 server on a thread of its own, bounded by `port_limits`.
class http_server {
 public:
  using responder = std::function<void(http_response)>;
  /// Called on the server's thread; must not block. The responder may be
  /// called once, from any thread, now or later.
  using handler = std::function<void(http_request, responder)>;

  /// `name` is the thread's name; at most 15 characters.
  http_server(std::string name, const port_limits& limits, handler handler);
  ~http_server();

  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;

  /// Binds and listens; returns an empty string, or why it could not.
  std::string Listen(const endpoint& address);
  void Start();

  /// Takes what waits in the accept backlog, stops listening, finishes every
  /// request in progress, and closes kept-alive connections that stay idle
  /// for `min_idle`. Calls `done` on the server's thread when none is left.
  void Drain(std::chrono::milliseconds min_idle, std::function<void()> done);

  /// Ends at once.
  void Stop();

 private:
  class implementation;
  std::unique_ptr<implementation> implementation_;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_TRANSPORT_HTTP_SERVER_H_
