#include "manual_peer.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <utility>

#include "transport/link_frame.h"

namespace papayaglade {

namespace {

constexpr int kReceiveBytes = 4096;
constexpr std::size_t kReadBytes = 65536;
// The key is the example of RFC 6455.
constexpr char kHandshake[] =
    "GET / HTTP/1.1\r\n"
    "Host: 127.0.0.1\r\n"
    "Upgrade: websocket\r\n"
    "Connection: Upgrade\r\n"
    "Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n"
    "Sec-WebSocket-Version: 13\r\n"
    "\r\n";

}  // namespace

manual_peer::manual_peer(const endpoint& address) : socket_(io_) {
  using boost::asio::ip::tcp;
  socket_.open(tcp::v4());
  socket_.set_option(tcp::socket::receive_buffer_size(kReceiveBytes));
  socket_.connect(
      {boost::asio::ip::make_address(address.address), address.port});
  boost::asio::write(socket_, boost::asio::buffer(std::string(kHandshake)));
}

void manual_peer::Send(std::string message) {
  const link_frame_pointer frame =
      MakeLinkFrame(std::move(message), link_end::kDialling);
  boost::asio::write(socket_, boost::asio::buffer(frame->get_header()));
  boost::asio::write(socket_, boost::asio::buffer(frame->get_payload()));
}

std::vector<std::string> manual_peer::Receive() {
  boost::system::error_code ended;
  std::array<char, kReadBytes> buffer{};
  while (socket_.available() > 0 && !ended) {
    const std::size_t bytes =
        socket_.read_some(boost::asio::buffer(buffer), ended);
    read_.append(buffer.data(), bytes);
  }
  std::vector<std::string> messages;
  if (!SkipHandshake()) return messages;
  while (auto message = TakeMessage()) messages.push_back(std::move(*message));
  return messages;
}

bool manual_peer::SkipHandshake() {
  if (open_) return true;
  const std::size_t end = read_.find("\r\n\r\n");
  if (end == std::string::npos) return false;
  read_.erase(0, end + 4);
  open_ = true;
  return true;
}

// Frames of the accepting end are not masked. Their second byte is a length or
// tells how many bytes the length takes.
std::optional<std::string> manual_peer::TakeMessage() {
  constexpr std::size_t kHeadBytes = 2;
  constexpr unsigned kTwoByteLength = 126;
  constexpr unsigned kEightByteLength = 127;
  if (read_.size() < kHeadBytes) return std::nullopt;
  std::size_t length = static_cast<unsigned char>(read_[1]);
  std::size_t length_bytes = 0;
  if (length == kTwoByteLength) length_bytes = 2;
  if (length == kEightByteLength) length_bytes = 8;
  if (read_.size() < kHeadBytes + length_bytes) return std::nullopt;
  if (length_bytes > 0) length = 0;
  for (std::size_t i = 0; i < length_bytes; ++i)
    length = length << 8 | static_cast<unsigned char>(read_[kHeadBytes + i]);
  const std::size_t start = kHeadBytes + length_bytes;
  if (read_.size() - start < length) return std::nullopt;
  std::string message = read_.substr(start, length);
  read_.erase(0, start + length);
  return message;
}

}  // namespace papayaglade
