#ifndef PAPAYAGLADE_TRANSPORT_LINK_FRAME_H_
#define PAPAYAGLADE_TRANSPORT_LINK_FRAME_H_

#include <cstddef>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <websocketpp/message_buffer/alloc.hpp>
#include <websocketpp/message_buffer/message.hpp>

#include "state/time.h"

namespace papayaglade {

/// A WebSocket message in the form in which it is sent. Links share it, and
/// hold it until they have sent it.
using link_frame = websocketpp::message_buffer::message<
    websocketpp::message_buffer::alloc::con_msg_manager>;
using link_frame_pointer = std::shared_ptr<link_frame>;

/// The end of a link that sends a frame. The protocol requires the dialling
/// end to mask what it sends.
enum class link_end { kAccepting, kDialling };

/// Returns the binary message `payload` in the form in which `sender` sends it.
link_frame_pointer MakeLinkFrame(std::string payload, link_end sender);

/// The frames that one or more links still hold, oldest first.
class unsent_frames {
 public:
  /// Adds a frame that a link is about to send, once.
  void Add(const link_frame_pointer& frame, monotonic_time now);
  /// Adds the frames of `others`, each once.
  void Add(const unsent_frames& others);
  /// Returns the payload of the frames that are not completely sent, in bytes.
  std::size_t Bytes() const;
  /// Returns when the oldest of these frames was added, if there are any.
  std::optional<monotonic_time> WaitingSince() const;

 private:
  struct entry {
    std::weak_ptr<link_frame> frame;
    std::size_t bytes = 0;
    monotonic_time added;
  };

  void Add(const entry& added);
  void EraseSent();

  std::deque<entry> frames_;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_TRANSPORT_LINK_FRAME_H_
