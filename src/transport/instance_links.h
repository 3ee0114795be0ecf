#ifndef PAPAYAGLADE_TRANSPORT_INSTANCE_LINKS_H_
#define PAPAYAGLADE_TRANSPORT_INSTANCE_LINKS_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "state/identity.h"
#include "transport/link_frame.h"
#include "transport/loop_context.h"

namespace papayaglade {

/// WebSocket links between entry instances, run on the instance's event loop.
/// Several components share them: each message goes to the first one that takes
/// it. A link that receives a message which none takes is closed.
class instance_links {
 public:
  using id = std::uint64_t;

  static constexpr std::size_t kMaxUnsentBytes = 8UL * 1024 * 1024;
  static constexpr std::size_t kMaxUnsentBytesOfAll = 16UL * 1024 * 1024;

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
  /// Sends `message` on `link`. Aborts the link if the message cannot be sent
  /// or the link would hold more than kMaxUnsentBytes; a single message may be
  /// larger. While all links hold more than kMaxUnsentBytesOfAll, aborts the
  /// one that has waited longest. Does nothing for a link that is unknown
  /// or not open yet.
  void Send(id link, std::string message);
  /// Sends a frame that MakeLinkFrame has made for an accepting end, and which
  /// other links may send as well.
  void Send(id link, const link_frame_pointer& frame);
  /// Returns how many bytes the link holds that are not sent yet.
  std::size_t UnsentBytes(id link) const;
  /// Returns since when the link has held bytes that are not sent yet, if it
  /// does.
  std::optional<monotonic_time> UnsentSince(id link) const;
  /// Closes the link without calling on_closed.
  void Close(id link);
  /// Ends the link at once, without what it has not sent yet, and calls
  /// on_closed later.
  void Abort(id link, const std::string& why);

 private:
  class implementation;
  std::unique_ptr<implementation> implementation_;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_TRANSPORT_INSTANCE_LINKS_H_
