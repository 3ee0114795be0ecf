#ifndef PAPAYAGLADE_TRANSPORT_STREAM_SOCKET_H_
#define PAPAYAGLADE_TRANSPORT_STREAM_SOCKET_H_

#include <boost/asio/ip/tcp.hpp>
#include <boost/system/error_code.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "state/identity.h"
#include "transport/loop_context.h"

namespace papayaglade {

/// A TCP connection that is always read. Its user learns of bytes as they
/// come, and of the end; nothing comes after Close.
class stream_socket : public std::enable_shared_from_this<stream_socket> {
 public:
  struct handlers {
    std::function<void(std::string_view bytes)> on_bytes;
    /// The far end closed (no error) or the connection broke.
    std::function<void(boost::system::error_code failed)> on_end;
    /// All that was written has left; may be empty.
    std::function<void()> on_written;
  };

  explicit stream_socket(loop_context& loop);
  stream_socket(loop_context& loop, boost::asio::ip::tcp::socket socket);

  void SetHandlers(handlers handlers) { handlers_ = std::move(handlers); }

  /// Reading starts once connected. `done` gets timed_out after `timeout`; it
  /// is called later, never from within Connect.
  void Connect(const endpoint& target, std::chrono::milliseconds timeout,
               std::function<void(boost::system::error_code)> done);
  void StartReading();
  /// Stops reading until StartReading, so that the sender is held up.
  void PauseReading() { paused_ = true; }

  void Write(std::string bytes);
  bool HasPendingWrite() const { return !unwritten_.empty(); }
  void Close();
  bool IsClosed() const { return closed_; }

 private:
  void SetSocketOptions();
  void CancelConnectTimeout();
  void WaitUntilReadable();
  void ReadAvailable();
  void CloseAndNotify(boost::system::error_code failed);
  void WriteBuffered();

  loop_context& loop_;
  boost::asio::ip::tcp::socket socket_;
  handlers handlers_;
  std::string unwritten_;
  std::optional<timer_queue::id> connect_timeout_;
  bool waiting_to_read_ = false;
  bool waiting_to_write_ = false;
  bool paused_ = false;
  bool closed_ = false;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_TRANSPORT_STREAM_SOCKET_H_
