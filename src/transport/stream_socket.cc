#include "transport/stream_socket.h"

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/post.hpp>
#include <utility>

namespace papayaglade {

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;

namespace {

using keep_alive_idle =
    asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
using keep_alive_interval =
    asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
using keep_alive_probes =
    asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;
using user_timeout =
    asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;

// These bound the time until a connection ends whose peer no longer knows it.
constexpr int kKeepAliveIdleSeconds = 1;
constexpr int kKeepAliveIntervalSeconds = 1;
constexpr int kKeepAliveProbes = 2;
constexpr std::chrono::milliseconds kConnectedTimeout{3000};
// An accepted connection is kept for longer: the answer that it is owed must
// still reach a peer that stops reading or loses its path for a while.
constexpr std::chrono::milliseconds kAcceptedTimeout{15000};

}  // namespace

stream_socket::stream_socket(loop_context& loop)
    : loop_(loop), socket_(loop.Io()) {}

stream_socket::stream_socket(loop_context& loop, tcp::socket socket)
    : loop_(loop), socket_(std::move(socket)) {
  SetSocketOptions(kAcceptedTimeout);
}

void stream_socket::Connect(const endpoint& target,
                            std::chrono::milliseconds timeout,
                            std::function<void(error_code)> done) {
  error_code failed;
  const auto address = asio::ip::make_address(target.address, failed);
  if (failed) {
    asio::post(loop_.Io(), [done = std::move(done), failed] { done(failed); });
    return;
  }
  connect_timeout_ = loop_.ScheduleAfter(
      timeout, [self = shared_from_this(), done](monotonic_time) {
        self->connect_timeout_.reset();
        self->Close();
        done(asio::error::timed_out);
      });
  socket_.async_connect(
      tcp::endpoint(address, target.port),
      [self = shared_from_this(), done = std::move(done)](error_code failed) {
        if (self->closed_) return;
        self->CancelConnectTimeout();
        if (!failed) {
          self->SetSocketOptions(kConnectedTimeout);
          self->StartReading();
        }
        done(failed);
      });
}

void stream_socket::StartReading() {
  paused_ = false;
  WaitUntilReadable();
}

void stream_socket::Write(std::string bytes) {
  if (closed_) return;
  if (unwritten_.empty()) {
    unwritten_ = std::move(bytes);
  } else {
    unwritten_ += bytes;
  }
  if (!waiting_to_write_) WriteBuffered();
}

void stream_socket::EndWriting() {
  error_code ignored;  // A broken socket fails at its next read.
  socket_.shutdown(tcp::socket::shutdown_send, ignored);
}

// The kernel reports room only once a good part of its buffer is free, so its
// queue shows earlier that the peer reads.
std::size_t stream_socket::UndeliveredBytes() {
  if (unwritten_.empty()) return 0;
  int queued = 0;
  if (ioctl(socket_.native_handle(), SIOCOUTQ, &queued) != 0) queued = 0;
  return unwritten_.size() + static_cast<std::size_t>(queued);
}

void stream_socket::Close() {
  if (closed_) return;
  closed_ = true;
  CancelConnectTimeout();
  handlers_ = {};
  error_code ignored;  // The socket is closed even on an error.
  socket_.close(ignored);
}

void stream_socket::SetSocketOptions(
    std::chrono::milliseconds unacknowledged_timeout) {
  // Errors are ignored: a broken socket fails at its first read or write.
  error_code ignored;
  socket_.non_blocking(true, ignored);
  socket_.set_option(tcp::no_delay(true), ignored);
  socket_.set_option(asio::socket_base::keep_alive(true), ignored);
  socket_.set_option(keep_alive_idle(kKeepAliveIdleSeconds), ignored);
  socket_.set_option(keep_alive_interval(kKeepAliveIntervalSeconds), ignored);
  socket_.set_option(keep_alive_probes(kKeepAliveProbes), ignored);
  socket_.set_option(
      user_timeout(static_cast<int>(unacknowledged_timeout.count())), ignored);
}

void stream_socket::CancelConnectTimeout() {
  if (connect_timeout_.has_value()) loop_.Cancel(*connect_timeout_);
  connect_timeout_.reset();
}

void stream_socket::WaitUntilReadable() {
  if (closed_ || paused_ || waiting_to_read_) return;
  waiting_to_read_ = true;
  socket_.async_wait(tcp::socket::wait_read,
                     [self = shared_from_this()](error_code failed) {
                       self->waiting_to_read_ = false;
                       if (self->closed_) return;
                       if (failed) return self->CloseAndNotify(failed);
                       self->ReadAvailable();
                     });
}

void stream_socket::ReadAvailable() {
  if (paused_) return;
  const error_code failed = ReadOnce();
  if (!failed || failed == asio::error::would_block) WaitUntilReadable();
}

bool stream_socket::ReadArrived() {
  return !closed_ && !paused_ && !ReadOnce();
}

error_code stream_socket::ReadOnce() {
  error_code failed;
  auto& buffer = loop_.ReadBuffer();
  const std::size_t count = socket_.read_some(asio::buffer(buffer), failed);
  if (failed) {
    if (failed != asio::error::would_block) CloseAndNotify(failed);
    return failed;
  }
  // The handler may call Close, which clears `handlers_`, so a copy is called.
  const auto on_bytes = handlers_.on_bytes;
  if (on_bytes) on_bytes({buffer.data(), count});
  return failed;
}

// A failed write takes the socket's error, so that the next read reports an
// orderly end.
void stream_socket::CloseAndNotify(error_code failed) {
  if (failed == asio::error::eof) failed = write_failure_;
  const auto on_end = handlers_.on_end;
  Close();
  if (on_end) on_end(failed);
}

void stream_socket::WriteBuffered() {
  while (!unwritten_.empty()) {
    error_code failed;
    const std::size_t count =
        socket_.write_some(asio::buffer(unwritten_), failed);
    if (failed == asio::error::would_block) {
      last_write_ = loop_context::Now();
      waiting_to_write_ = true;
      socket_.async_wait(tcp::socket::wait_write,
                         [self = shared_from_this()](error_code broken) {
                           self->waiting_to_write_ = false;
                           if (self->closed_) return;
                           if (broken) return self->OnWriteFailed(broken);
                           self->WriteBuffered();
                         });
      return;
    }
    if (failed) return OnWriteFailed(failed);
    unwritten_.erase(0, count);
  }
  unwritten_.shrink_to_fit();  // An idle connection holds no answer's memory.
  if (handlers_.on_written) handlers_.on_written();
}

// The peer may have answered before it broke the connection, so what has
// arrived is read first. on_end runs later, never during the caller's Write.
void stream_socket::OnWriteFailed(error_code failed) {
  write_failure_ = failed;
  asio::post(loop_.Io(), [self = shared_from_this(), failed] {
    while (self->ReadArrived()) {
    }
    if (!self->closed_) self->CloseAndNotify(failed);
  });
}

}  // namespace papayaglade
