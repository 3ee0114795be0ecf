#ifndef PAPAYAGLADE_TRANSPORT_WEBSOCKET_ENDS_H_
#define PAPAYAGLADE_TRANSPORT_WEBSOCKET_ENDS_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstddef>
#include <string>
#include <websocketpp/client.hpp>
#include <websocketpp/server.hpp>

#include "state/identity.h"

namespace papayaglade {

/// The accepting and the dialling end of links between instances, set up
/// alike. A link belongs to one of them: `dialled` says to which.
template <typename ServerConfig, typename ClientConfig>
class websocket_ends {
 public:
  using handle = websocketpp::connection_hdl;
  using server_end = websocketpp::server<ServerConfig>;
  using client_end = websocketpp::client<ClientConfig>;

  websocket_ends(boost::asio::io_context& io, std::size_t largest_message,
                 std::chrono::milliseconds handshake_timeout) {
    Prepare(server_, io, largest_message, handshake_timeout);
    Prepare(client_, io, largest_message, handshake_timeout);
    server_.set_reuse_addr(true);
  }

  server_end& Server() { return server_; }
  client_end& Client() { return client_; }

  template <typename Action>
  void ForBoth(const Action& action) {
    action(server_);
    action(client_);
  }

  /// Returns an empty string, or why the address could not be bound.
  std::string Listen(const endpoint& address) {
    boost::system::error_code bad_address;
    const auto ip = boost::asio::ip::make_address(address.address, bad_address);
    if (bad_address) return "not an IP address: " + address.address;
    websocketpp::lib::error_code failed;
    server_.listen(boost::asio::ip::tcp::endpoint(ip, address.port), failed);
    if (!failed) server_.start_accept(failed);
    return failed ? failed.message() : std::string();
  }

  /// A connection to be given to Client().connect; null when `failed` is set.
  typename client_end::connection_ptr Connection(
      const endpoint& address, websocketpp::lib::error_code& failed) {
    return client_.get_connection(
        "ws://" + address.address + ":" + std::to_string(address.port) + "/",
        failed);
  }

  websocketpp::lib::error_code Send(const handle& link, bool dialled,
                                    const std::string& bytes) {
    websocketpp::lib::error_code failed;
    At(dialled, [&](auto& end) {
      end.send(link, bytes, websocketpp::frame::opcode::binary, failed);
    });
    return failed;
  }

  /// Bytes that are not sent yet; 0 when the link is gone.
  std::size_t Buffered(const handle& link, bool dialled) {
    std::size_t bytes = 0;
    At(dialled, [&](auto& end) {
      websocketpp::lib::error_code gone;
      const auto connection = end.get_con_from_hdl(link, gone);
      if (connection) bytes = connection->get_buffered_amount();
    });
    return bytes;
  }

  /// A link that is gone already is left alone.
  void Ping(const handle& link, bool dialled) {
    websocketpp::lib::error_code gone;
    At(dialled, [&](auto& end) { end.ping(link, "", gone); });
  }

  /// A link that is not open yet fails by itself.
  void Close(const handle& link, bool dialled,
             websocketpp::close::status::value why) {
    websocketpp::lib::error_code gone;
    At(dialled, [&](auto& end) { end.close(link, why, "", gone); });
  }

 private:
  template <typename Action>
  void At(bool dialled, const Action& action) {
    if (dialled) {
      action(client_);
    } else {
      action(server_);
    }
  }

  template <typename End>
  static void Prepare(End& end, boost::asio::io_context& io,
                      std::size_t largest_message,
                      std::chrono::milliseconds handshake_timeout) {
    end.clear_access_channels(websocketpp::log::alevel::all);
    end.clear_error_channels(websocketpp::log::elevel::all);
    end.init_asio(&io);
    end.set_max_message_size(largest_message);
    end.set_open_handshake_timeout(handshake_timeout.count());
    end.set_close_handshake_timeout(handshake_timeout.count());
    end.set_tcp_post_init_handler([&end](const handle& link) {
      websocketpp::lib::error_code gone;
      const auto connection = end.get_con_from_hdl(link, gone);
      if (!connection) return;
      // Without it messages are only sent later.
      boost::system::error_code failed;
      connection->get_raw_socket().set_option(
          boost::asio::ip::tcp::no_delay(true), failed);
    });
  }

  server_end server_;
  client_end client_;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_TRANSPORT_WEBSOCKET_ENDS_H_
