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

/// WebSocket links between entry instances, on the instance's own loop. Each
/// message is one CBOR document; whoever sends anything else is cut off.
class mirror_links {
 public:
  using id = std::uint64_t;

  struct handlers {
    std::function<void(id)> on_open;
    std::function<void(id, const mirror_message&)> on_message;
    /// The link ended, or did not come about; `why` names the remedy's place.
    std::function<void(id, const std::string& why)> on_closed;
  };

  mirror_links(loop_context& loop, handlers handlers);
  ~mirror_links();

  mirror_links(const mirror_links&) = delete;
  mirror_links& operator=(const mirror_links&) = delete;

  /// Returns an empty string, or why the address could not be bound.
  std::string Listen(const endpoint& address);
  void StopAccepting();

  /// The handlers tell what becomes of it, never before this returns.
  id Dial(const endpoint& address);
  /// A link that does not take what is sent is closed.
  void Send(id link, const mirror_message& message) {
    Send(std::vector<id>{link}, message);
  }
  /// Encodes it once for all.
  void Send(const std::vector<id>& links, const mirror_message& message);
  /// Without calling the handlers.
  void Close(id link);

 private:
  class implementation;
  std::unique_ptr<implementation> implementation_;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_TRANSPORT_MIRROR_LINKS_H_
