#ifndef PAPAYAGLADE_TRANSPORT_WEBSOCKET_ENDPOINTS_H_
#define PAPAYAGLADE_TRANSPORT_WEBSOCKET_ENDPOINTS_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstddef>
#include <string>
#include <websocketpp/client.hpp>
#include <websocketpp/server.hpp>

#include "state/identity.h"
#include "transport/link_frame.h"

namespace papayaglade {

/// The WebSocket server and client endpoints for links between instances, with
/// the same configuration. `dialled` tells whether a link belongs to the client
/// endpoint or to the server endpoint.
template <typename ServerConfig, typename ClientConfig>
class websocket_endpoints {
 public:
  using handle = websocketpp::connection_hdl;
  using server_endpoint = websocketpp::server<ServerConfig>;
  using client_endpoint = websocketpp::client<ClientConfig>;

  websocket_endpoints(boost::asio::io_context& io,
                      std::size_t max_message_bytes,
                      std::chrono::milliseconds handshake_timeout) {
    Configure(server_, io, max_message_bytes, handshake_timeout);
    Configure(client_, io, max_message_bytes, handshake_timeout);
    server_.set_reuse_addr(true);
  }

  server_endpoint& Server() { return server_; }
  client_endpoint& Client() { return client_; }

  template <typename Action>
  void ForEachEndpoint(const Action& action) {
    action(server_);
    action(client_);
  }

  /// Binds `address` and accepts links on it. Returns an empty string on
  /// success, otherwise the error.
  std::string Listen(const endpoint& address) {
    boost::system::error_code bad_address;
    const auto ip = boost::asio::ip::make_address(address.address, bad_address);
    if (bad_address) return "not an IP address: " + address.address;
    websocketpp::lib::error_code failed;
    server_.listen(boost::asio::ip::tcp::endpoint(ip, address.port), failed);
    if (!failed) server_.start_accept(failed);
    return failed ? failed.message() : std::string();
  }

  /// Creates a connection to pass to Client().connect. Returns null and sets
  /// `failed` on an error.
  typename client_endpoint::connection_ptr CreateConnection(
      const endpoint& address, websocketpp::lib::error_code& failed) {
    return client_.get_connection(
        "ws://" + address.address + ":" + std::to_string(address.port) + "/",
        failed);
  }

  /// Sends a frame that was made for this end of the link.
  websocketpp::lib::error_code Send(const handle& link, bool dialled,
                                    const link_frame_pointer& frame) {
    websocketpp::lib::error_code failed;
    WithEndpoint(dialled, [&](auto& end) { end.send(link, frame, failed); });
    return failed;
  }

  /// Sends a ping. Does nothing if the link is closed.
  void Ping(const handle& link, bool dialled) {
    websocketpp::lib::error_code gone;
    WithEndpoint(dialled, [&](auto& end) { end.ping(link, "", gone); });
  }

  /// Closes the link. Does nothing if it is not open yet; such a link fails by
  /// itself.
  void Close(const handle& link, bool dialled,
             websocketpp::close::status::value why) {
    websocketpp::lib::error_code gone;
    WithEndpoint(dialled, [&](auto& end) { end.close(link, why, "", gone); });
  }

  /// Ends the link at once, without what it has not sent yet. Does nothing if
  /// the link is closed.
  void Terminate(const handle& link, bool dialled) {
    websocketpp::lib::error_code gone;
    WithEndpoint(dialled, [&](auto& end) {
      const auto connection = end.get_con_from_hdl(link, gone);
      if (connection)
        connection->terminate(websocketpp::error::make_error_code(
            websocketpp::error::operation_canceled));
    });
  }

 private:
  template <typename Action>
  void WithEndpoint(bool dialled, const Action& action) {
    if (dialled) {
      action(client_);
    } else {
      action(server_);
    }
  }

  template <typename Endpoint>
  static void Configure(Endpoint& end, boost::asio::io_context& io,
                        std::size_t max_message_bytes,
                        std::chrono::milliseconds handshake_timeout) {
    end.clear_access_channels(websocketpp::log::alevel::all);
    end.clear_error_channels(websocketpp::log::elevel::all);
    end.init_asio(&io);
    end.set_max_message_size(max_message_bytes);
    end.set_open_handshake_timeout(handshake_timeout.count());
    end.set_close_handshake_timeout(handshake_timeout.count());
    end.set_tcp_post_init_handler([&end](const handle& link) {
      websocketpp::lib::error_code gone;
      const auto connection = end.get_con_from_hdl(link, gone);
      if (!connection) return;
      // Nagle's algorithm would delay messages.
      boost::system::error_code failed;
      connection->get_raw_socket().set_option(
          boost::asio::ip::tcp::no_delay(true), failed);
    });
  }

  server_endpoint server_;
  client_endpoint client_;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_TRANSPORT_WEBSOCKET_ENDPOINTS_H_
