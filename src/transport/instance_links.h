#ifndef PAPAYAGLADE_TRANSPORT_INSTANCE_LINKS_H_
#define PAPAYAGLADE_TRANSPORT_INSTANCE_LINKS_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "state/identity.h"
#include "transport/loop_context.h"

namespace papayaglade {

/// WebSocket links between entry instances, run on the instance's event loop.
/// Several components share them: each message goes to the first one that takes
/// it. A link that receives a message which none takes is closed.
class instance_links {
 public:
  using id = std::uint64_t;

  struct handlers {
    std::function<void(id)> on_open;
    /// Returns false if the message is for another component or unreadable.
    std::function<bool(id, const std::string& bytes)> on_message;
    /// Called when the link closed or failed to open; `why` is the cause.
    std::function<void(id, const std::string& why)> on_closed;
  };

  explicit instance_links(loop_context& loop);
  ~instance_links();

  instance_links(const instance_links&) = delete;
  instance_links& operator=(const instance_links&) = delete;

  /// Adds a component. Call it before Listen and Dial.
  void AddHandlers(handlers handlers);

  /// Binds `address` and accepts links on it. Returns an empty string on
  /// success, otherwise the error.
  std::string Listen(const endpoint& address);
  void StopAccepting();

  /// Opens a link to `address`. Reports through on_open or on_closed, neither
  /// of which runs before Dial returns.
  id Dial(const endpoint& address);
  /// Sends `message` on `link`. Closes the link and calls on_closed later if
  /// the message cannot be sent or too many bytes are buffered. Does nothing
  /// for an unknown link.
  void Send(id link, const std::string& message);
  /// Closes the link without calling on_closed.
  void Close(id link);

 private:
  class implementation;
  std::unique_ptr<implementation> implementation_;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_TRANSPORT_INSTANCE_LINKS_H_
