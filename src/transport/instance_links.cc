#include "transport/instance_links.h"

#include <algorithm>
#include <map>
#include <utility>
#include <vector>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>

#include "transport/websocket_endpoints.h"

namespace papayaglade {

namespace {

using link_handle = websocketpp::connection_hdl;

constexpr std::size_t kReadBytes = 4096;
constexpr std::size_t kMaxMessageBytes = 8UL * 1024 * 1024;
constexpr std::size_t kMaxLinks = 256;
constexpr char kDoesNotRead[] = "it does not read what it is sent";
constexpr std::chrono::milliseconds kHandshakeTimeout{1000};

// Buffers are small and timeouts short, because an instance has little memory
// and many links to peers that may have stopped.
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

using link_endpoints =
    websocket_endpoints<small_server_config, small_client_config>;
using message_pointer = small_server_config::message_type::ptr;

}  // namespace

class instance_links::implementation {
 public:
  explicit implementation(loop_context& loop)
      : loop_(loop),
        endpoints_(loop.Io(), kMaxMessageBytes, kHandshakeTimeout) {
    endpoints_.ForEachEndpoint([this](auto& end) { SetHandlers(end); });
    endpoints_.Server().set_open_handler([this](const link_handle& handle) {
      if (links_.size() >= kMaxLinks) return CloseHandle(handle, false);
      NotifyOpen(Add(handle, false));
    });
  }

  ~implementation() {
    handlers_.clear();
    StopAccepting();
    for (const auto& each : links_) {
      CloseHandle(each.second.handle, each.second.dialled);
    }
  }

  void AddHandlers(handlers added) { handlers_.push_back(std::move(added)); }

  std::string Listen(const endpoint& address) {
    return endpoints_.Listen(address);
  }

  void StopAccepting() {
    websocketpp::lib::error_code ignored;
    if (endpoints_.Server().is_listening())
      endpoints_.Server().stop_listening(ignored);
  }

  id Dial(const endpoint& address) {
    websocketpp::lib::error_code failed;
    const auto connection = endpoints_.CreateConnection(address, failed);
    if (failed) {
      const id none = ++last_id_;
      ScheduleOnClosed(none, failed.message());
      return none;
    }
    const id link = Add(connection->get_handle(), true);
    connection->set_open_handler([this, link](const link_handle& handle) {
      if (links_.count(link) == 0) return CloseHandle(handle, true);
      NotifyOpen(link);
    });
    connection->set_fail_handler([this](const link_handle& handle) {
      websocketpp::lib::error_code none;
      const auto failed_connection =
          endpoints_.Client().get_con_from_hdl(handle, none);
      OnDisconnected(handle, failed_connection
                                 ? failed_connection->get_ec().message()
                                 : "failed");
    });
    endpoints_.Client().connect(connection);
    return link;
  }

  void Send(id link, std::string message) {
    const auto found = links_.find(link);
    if (found == links_.end()) return;
    const link_end sender =
        found->second.dialled ? link_end::kDialling : link_end::kAccepting;
    SendFrame(link, found->second, MakeLinkFrame(std::move(message), sender));
  }

  void Send(id link, const link_frame_pointer& frame) {
    const auto found = links_.find(link);
    if (found == links_.end()) return;
    if (found->second.dialled) return Send(link, frame->get_payload());
    SendFrame(link, found->second, frame);
  }

  std::size_t UnsentBytes(id link) const {
    const auto found = links_.find(link);
    return found == links_.end() ? 0 : found->second.unsent.Bytes();
  }

  std::optional<monotonic_time> UnsentSince(id link) const {
    const auto found = links_.find(link);
    if (found == links_.end()) return std::nullopt;
    return found->second.unsent.WaitingSince();
  }

  void Close(id link) {
    const auto found = links_.find(link);
    if (found == links_.end()) return;
    const link_state state = found->second;
    Erase(link, state.handle);
    CloseHandle(state.handle, state.dialled);
  }

  void Abort(id link, const std::string& why) {
    const auto found = links_.find(link);
    if (found == links_.end()) return;
    const link_state state = found->second;
    Erase(link, state.handle);
    endpoints_.Terminate(state.handle, state.dialled);
    ScheduleOnClosed(link, why);
  }

 private:
  struct link_state {
    link_handle handle;
    /// True if this instance opened the link; false if it accepted it.
    bool dialled = false;
    bool open = false;
    unsent_frames unsent;
  };

  // The limit is checked before a frame is added, because a link that is cut
  // off holds all it is given.
  void SendFrame(id link, link_state& state, const link_frame_pointer& frame) {
    if (!state.open) return;
    const std::size_t unsent = state.unsent.Bytes();
    const std::size_t bytes = frame->get_payload().size();
    if (unsent > 0 && unsent + bytes > kMaxUnsentBytes)
      return Abort(link, kDoesNotRead);
    const monotonic_time now = loop_context::Now();
    state.unsent.Add(frame, now);
    unsent_of_all_.Add(frame, now);
    const auto failed = endpoints_.Send(state.handle, state.dialled, frame);
    if (failed) return Abort(link, failed.message());
    while (unsent_of_all_.Bytes() > kMaxUnsentBytesOfAll) AbortSlowest();
  }

  // Ends the link that has waited longest to send what it holds.
  void AbortSlowest() {
    std::optional<monotonic_time> earliest;
    id slowest = 0;
    for (const auto& each : links_) {
      const auto since = each.second.unsent.WaitingSince();
      if (!since.has_value()) continue;
      if (earliest.has_value() && *since >= *earliest) continue;
      earliest = since;
      slowest = each.first;
    }
    Abort(slowest, kDoesNotRead);
    // Its frames are released later, but must not end other links until then.
    unsent_of_all_ = unsent_frames();
    for (const auto& each : links_) unsent_of_all_.Add(each.second.unsent);
  }

  void Erase(id link, const link_handle& handle) {
    ids_.erase(handle);
    links_.erase(link);
  }

  template <typename Endpoint>
  void SetHandlers(Endpoint& end) {
    end.set_message_handler(
        [this](const link_handle& handle, const message_pointer& message) {
          OnMessage(handle, message->get_payload());
        });
    end.set_close_handler([this](const link_handle& handle) {
      OnDisconnected(handle, "closed");
    });
  }

  id Add(const link_handle& handle, bool dialled) {
    const id link = ++last_id_;
    links_[link] = {handle, dialled, false, {}};
    ids_[handle] = link;
    return link;
  }

  void OnMessage(const link_handle& handle, const std::string& bytes) {
    const auto found = ids_.find(handle);
    if (found == ids_.end()) return;
    const id link = found->second;
    const bool taken = std::any_of(
        handlers_.begin(), handlers_.end(), [&](const handlers& each) {
          return each.on_message && each.on_message(link, bytes);
        });
    if (taken) return;
    Close(link);
    ScheduleOnClosed(link, "unreadable message");
  }

  void NotifyOpen(id link) {
    links_.at(link).open = true;
    for (const handlers& each : handlers_) {
      if (each.on_open) each.on_open(link);
    }
  }

  void NotifyClosed(id link, const std::string& why) {
    for (const handlers& each : handlers_) {
      if (each.on_closed) each.on_closed(link, why);
    }
  }

  void OnDisconnected(const link_handle& handle, const std::string& why) {
    const auto found = ids_.find(handle);
    if (found == ids_.end()) return;
    const id link = found->second;
    Erase(link, handle);
    NotifyClosed(link, why);
  }

  // on_closed runs later, because the caller may be iterating over its links.
  void ScheduleOnClosed(id link, const std::string& why) {
    loop_.ScheduleAfter(
        std::chrono::milliseconds(0),
        [this, link, why](monotonic_time) { NotifyClosed(link, why); });
  }

  void CloseHandle(const link_handle& handle, bool dialled) {
    endpoints_.Close(handle, dialled, websocketpp::close::status::going_away);
  }

  loop_context& loop_;
  std::vector<handlers> handlers_;
  link_endpoints endpoints_;
  id last_id_ = 0;
  /// Every frame once, however many links send it.
  unsent_frames unsent_of_all_;
  std::map<id, link_state> links_;
  std::map<link_handle, id, std::owner_less<link_handle>> ids_;
};

instance_links::instance_links(loop_context& loop)
    : implementation_(std::make_unique<implementation>(loop)) {}

instance_links::~instance_links() = default;

std::string instance_links::Listen(const endpoint& address) {
  return implementation_->Listen(address);
}

void instance_links::StopAccepting() { implementation_->StopAccepting(); }

instance_links::id instance_links::Dial(const endpoint& address) {
  return implementation_->Dial(address);
}

void instance_links::AddHandlers(handlers handlers) {
  implementation_->AddHandlers(std::move(handlers));
}

void instance_links::Send(id link, std::string message) {
  implementation_->Send(link, std::move(message));
}

void instance_links::Send(id link, const link_frame_pointer& frame) {
  implementation_->Send(link, frame);
}

std::size_t instance_links::UnsentBytes(id link) const {
  return implementation_->UnsentBytes(link);
}

std::optional<monotonic_time> instance_links::UnsentSince(id link) const {
  return implementation_->UnsentSince(link);
}

void instance_links::Abort(id link, const std::string& why) {
  implementation_->Abort(link, why);
}

void instance_links::Close(id link) { implementation_->Close(link); }

}  // namespace papayaglade
