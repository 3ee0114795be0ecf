#ifndef PAPAYAGLADE_TRANSPORT_MIRROR_LINKS_H_
#define PAPAYAGLADE_TRANSPORT_MIRROR_LINKS_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "state/identity.h"
#include "state/mirror_message.h"
#include "transport/loop_context.h"

namespace papayaglade {

/// WebSocket links between entry instances, run on the instance's event loop.
/// Each message is one CBOR document. A link that receives anything else is
/// closed.
class mirror_links {
 public:
  using id = std::uint64_t;

  struct handlers {
    std::function<void(id)> on_open;
    std::function<void(id, const mirror_message&)> on_message;
    /// Called when the link closed or failed to open; `why` is the cause.
    std::function<void(id, const std::string& why)> on_closed;
  };

  mirror_links(loop_context& loop, handlers handlers);
  ~mirror_links();

  mirror_links(const mirror_links&) = delete;
  mirror_links& operator=(const mirror_links&) = delete;

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
  void Send(id link, const mirror_message& message) {
    Send(std::vector<id>{link}, message);
  }
  /// Sends `message` on every link of `links` and encodes it only once.
  void Send(const std::vector<id>& links, const mirror_message& message);
  /// Closes the link without calling on_closed.
  void Close(id link);

 private:
  class implementation;
  std::unique_ptr<implementation> implementation_;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_TRANSPORT_MIRROR_LINKS_H_
