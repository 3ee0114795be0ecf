#ifndef PAPAYAGLADE_TESTS_UNIT_MANUAL_PEER_H_
#define PAPAYAGLADE_TESTS_UNIT_MANUAL_PEER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <optional>
#include <string>
#include <vector>

#include "state/identity.h"

namespace papayaglade {

/// The dialling end of a link between instances, which reads only when it is
/// told to. Its system accepts little for it meanwhile.
class manual_peer {
 public:
  explicit manual_peer(const endpoint& address);

  void Send(std::string message);
  /// Reads what has arrived, without waiting, and returns the messages that are
  /// complete.
  std::vector<std::string> Receive();

 private:
  /// Removes the answer to the handshake. Returns false if it is incomplete.
  bool SkipHandshake();
  /// Removes the first message from what was read, if it is complete.
  std::optional<std::string> TakeMessage();

  boost::asio::io_context io_;
  boost::asio::ip::tcp::socket socket_;
  bool open_ = false;  ///< The answer to the handshake was read.
  std::string read_;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_TESTS_UNIT_MANUAL_PEER_H_
