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

/// A TCP connection that reads continuously. The handlers receive the bytes as
/// they arrive and the end of the connection. No handler runs after Close.
class stream_socket : public std::enable_shared_from_this<stream_socket> {
 public:
  struct handlers {
    std::function<void(std::string_view bytes)> on_bytes;
    /// Called when the peer closed (`failed` is not set) or the link broke.
    std::function<void(boost::system::error_code failed)> on_end;
    /// Called when all pending bytes are in the kernel. May be empty.
    std::function<void()> on_written;
  };

  explicit stream_socket(loop_context& loop);
  stream_socket(loop_context& loop, boost::asio::ip::tcp::socket socket);

  void SetHandlers(handlers handlers) { handlers_ = std::move(handlers); }

  /// Connects to `target`, starts reading and calls `done`, which receives
  /// timed_out after `timeout`. `done` never runs before Connect returns.
  void Connect(const endpoint& target, std::chrono::milliseconds timeout,
               std::function<void(boost::system::error_code)> done);
  void StartReading();
  /// Reads once without waiting, so that bytes that have arrived reach the
  /// handlers. Returns false if there are none or the connection has ended.
  bool ReadArrived();
  /// Stops reading until StartReading, so that TCP flow control stops the
  /// sender.
  void PauseReading() { paused_ = true; }

  /// Writes `bytes`, or buffers what the kernel does not accept at once.
  void Write(std::string bytes);
  /// Returns true while the kernel has not accepted all bytes, also after a
  /// write has failed.
  bool HasPendingWrite() const { return !unwritten_.empty(); }
  /// Returns how many bytes the peer has not acknowledged, or 0 if none wait
  /// for room in the kernel.
  std::size_t UndeliveredBytes();
  /// Returns when the kernel last accepted bytes, or was first offered those
  /// that are pending. Valid while bytes are pending.
  monotonic_time LastWrite() const { return last_write_; }
  /// Tells the peer that no more bytes follow. Called once all are written.
  void EndWriting();
  void Close();
  bool IsClosed() const { return closed_; }
  /// Returns true if a write has failed, so that nothing more can be sent.
  bool HasFailedWrite() const { return write_failure_.failed(); }

 private:
  void SetSocketOptions(std::chrono::milliseconds unacknowledged_timeout);
  void CancelConnectTimeout();
  void WaitUntilReadable();
  void ReadAvailable();
  /// Reads once and passes the result to the handlers. Returns the result.
  boost::system::error_code ReadOnce();
  void CloseAndNotify(boost::system::error_code failed);
  void OnWriteFailed(boost::system::error_code failed);
  void WriteBuffered();

  loop_context& loop_;
  boost::asio::ip::tcp::socket socket_;
  handlers handlers_;
  std::string unwritten_;  ///< Bytes that the kernel has not accepted yet.
  monotonic_time last_write_;
  /// Timer of the connect timeout; set while connecting.
  std::optional<timer_queue::id> connect_timeout_;
  boost::system::error_code write_failure_;
  bool waiting_to_read_ = false;
  bool waiting_to_write_ = false;
  bool paused_ = false;
  bool closed_ = false;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_TRANSPORT_STREAM_SOCKET_H_
