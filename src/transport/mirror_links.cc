#include "transport/mirror_links.h"

#include <map>
#include <utility>
#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

#include "protocol/mirror_codec.h"

namespace papayaglade {

namespace {

using boost::system::error_code;
using link_handle = websocketpp::connection_hdl;

constexpr std::size_t kReadBytes = 4096;
constexpr std::size_t kLargestMessage = 8UL * 1024 * 1024;
constexpr std::size_t kMostBufferedBytes = 4UL * 1024 * 1024;
constexpr std::size_t kMostAccepted = 256;
constexpr long kHandshakeTimeoutMs = 1000;

// Small buffers and short waits: an instance has little memory, and many
// links to peers that may be gone.
struct small_server_config : public websocketpp::config::asio {
  // The library's name.
  // NOLINTNEXTLINE(readability-identifier-naming)
  static const std::size_t connection_read_buffer_size = kReadBytes;
};

struct small_client_config : public websocketpp::config::asio_client {
  // The library's name.
  // NOLINTNEXTLINE(readability-identifier-naming)
  static const std::size_t connection_read_buffer_size = kReadBytes;
};

using ws_server = websocketpp::server<small_server_config>;
using ws_client = websocketpp::client<small_client_config>;
using message_pointer = small_server_config::message_type::ptr;

}  // namespace

class mirror_links::implementation {
 public:
  implementation(loop_context& loop, handlers handlers)
      : loop_(loop), handlers_(std::move(handlers)) {
    Prepare(server_);
    Prepare(client_);
    server_.set_reuse_addr(true);
    server_.set_open_handler([this](const link_handle& handle) {
      if (links_.size() >= kMostAccepted) return CloseHandle(handle, false);
      const id link = Add(handle, false);
      if (handlers_.on_open) handlers_.on_open(link);
    });
  }

  ~implementation() {
    handlers_ = {};
    StopAccepting();
    for (const auto& each : links_) {
      CloseHandle(each.second.handle, each.second.dialled);
    }
  }

  std::string Listen(const endpoint& address) {
    error_code bad_address;
    const auto ip = boost::asio::ip::make_address(address.address, bad_address);
    if (bad_address) return "not an IP address: " + address.address;
    websocketpp::lib::error_code failed;
    server_.listen(boost::asio::ip::tcp::endpoint(ip, address.port), failed);
    if (!failed) server_.start_accept(failed);
    return failed ? failed.message() : std::string();
  }

  void StopAccepting() {
    websocketpp::lib::error_code ignored;
    if (server_.is_listening()) server_.stop_listening(ignored);
  }

  id Dial(const endpoint& address) {
    const std::string uri =
        "ws://" + address.address + ":" + std::to_string(address.port) + "/";
    websocketpp::lib::error_code failed;
    const auto connection = client_.get_connection(uri, failed);
    if (failed) {
      const id none = ++last_;
      TellClosed(none, failed.message());
      return none;
    }
    const id link = Add(connection->get_handle(), true);
    connection->set_open_handler([this, link](const link_handle& handle) {
      if (links_.count(link) == 0) return CloseHandle(handle, true);
      if (handlers_.on_open) handlers_.on_open(link);
    });
    connection->set_fail_handler([this](const link_handle& handle) {
      websocketpp::lib::error_code none;
      const auto failed_one = client_.get_con_from_hdl(handle, none);
      Lost(handle, failed_one ? failed_one->get_ec().message() : "failed");
    });
    client_.connect(connection);
    return link;
  }

  void Send(id link, const std::string& bytes) {
    const auto found = links_.find(link);
    if (found == links_.end()) return;
    const link_state state = found->second;
    if (Buffered(state) > kMostBufferedBytes) {
      return End(link, "it does not read what it is sent");
    }
    websocketpp::lib::error_code failed;
    constexpr auto kBinary = websocketpp::frame::opcode::binary;
    if (state.dialled) {
      client_.send(state.handle, bytes, kBinary, failed);
    } else {
      server_.send(state.handle, bytes, kBinary, failed);
    }
    if (failed) End(link, failed.message());
  }

  void Close(id link) {
    const auto found = links_.find(link);
    if (found == links_.end()) return;
    const link_state state = found->second;
    ids_.erase(state.handle);
    links_.erase(found);
    CloseHandle(state.handle, state.dialled);
  }

 private:
  struct link_state {
    link_handle handle;
    bool dialled = false;  ///< By this instance; else accepted.
  };

  template <typename Endpoint>
  void Prepare(Endpoint& end) {
    end.clear_access_channels(websocketpp::log::alevel::all);
    end.clear_error_channels(websocketpp::log::elevel::all);
    end.init_asio(&loop_.Io());
    end.set_max_message_size(kLargestMessage);
    end.set_open_handshake_timeout(kHandshakeTimeoutMs);
    end.set_close_handshake_timeout(kHandshakeTimeoutMs);
    end.set_tcp_post_init_handler([&end](const link_handle& handle) {
      websocketpp::lib::error_code ignored;
      const auto connection = end.get_con_from_hdl(handle, ignored);
      if (!connection) return;
      error_code failed;
      connection->get_raw_socket().set_option(
          boost::asio::ip::tcp::no_delay(true), failed);
    });
    end.set_message_handler(
        [this](const link_handle& handle, const message_pointer& message) {
          OnMessage(handle, message->get_payload());
        });
    end.set_close_handler(
        [this](const link_handle& handle) { Lost(handle, "closed"); });
  }

  id Add(const link_handle& handle, bool dialled) {
    const id link = ++last_;
    links_[link] = {handle, dialled};
    ids_[handle] = link;
    return link;
  }

  void OnMessage(const link_handle& handle, const std::string& bytes) {
    const auto found = ids_.find(handle);
    if (found == ids_.end()) return;
    const id link = found->second;
    const auto message = DecodeMirrorMessage(bytes);
    if (!message.has_value()) return End(link, "unreadable message");
    if (handlers_.on_message) handlers_.on_message(link, *message);
  }

  void Lost(const link_handle& handle, const std::string& why) {
    const auto found = ids_.find(handle);
    if (found == ids_.end()) return;
    const id link = found->second;
    ids_.erase(found);
    links_.erase(link);
    if (handlers_.on_closed) handlers_.on_closed(link, why);
  }

  void End(id link, const std::string& why) {
    Close(link);
    TellClosed(link, why);
  }

  // Later, since the caller may be going through its links.
  void TellClosed(id link, const std::string& why) {
    loop_.After(std::chrono::milliseconds(0),
                [this, link, why](monotonic_time) {
                  if (handlers_.on_closed) handlers_.on_closed(link, why);
                });
  }

  std::size_t Buffered(const link_state& of) {
    websocketpp::lib::error_code ignored;
    if (of.dialled) {
      const auto connection = client_.get_con_from_hdl(of.handle, ignored);
      return connection ? connection->get_buffered_amount() : 0;
    }
    const auto connection = server_.get_con_from_hdl(of.handle, ignored);
    return connection ? connection->get_buffered_amount() : 0;
  }

  // A link that is not open yet is closed once it is, or fails by itself.
  void CloseHandle(const link_handle& handle, bool dialled) {
    websocketpp::lib::error_code ignored;
    constexpr auto kWhy = websocketpp::close::status::going_away;
    if (dialled) {
      client_.close(handle, kWhy, "", ignored);
    } else {
      server_.close(handle, kWhy, "", ignored);
    }
  }

  loop_context& loop_;
  handlers handlers_;
  ws_server server_;
  ws_client client_;
  id last_ = 0;
  std::map<id, link_state> links_;
  std::map<link_handle, id, std::owner_less<link_handle>> ids_;
};

mirror_links::mirror_links(loop_context& loop, handlers handlers)
    : implementation_(
          std::make_unique<implementation>(loop, std::move(handlers))) {}

mirror_links::~mirror_links() = default;

std::string mirror_links::Listen(const endpoint& address) {
  return implementation_->Listen(address);
}

void mirror_links::StopAccepting() { implementation_->StopAccepting(); }

mirror_links::id mirror_links::Dial(const endpoint& address) {
  return implementation_->Dial(address);
}

void mirror_links::Send(const std::vector<id>& links,
                        const mirror_message& message) {
  if (links.empty()) return;
  const std::string bytes = EncodeMirrorMessage(message);
  for (const id each : links) implementation_->Send(each, bytes);
}

void mirror_links::Close(id link) { implementation_->Close(link); }

}  // namespace papayaglade
