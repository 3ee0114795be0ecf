#include "transport/peer_links.h"

#include <glog/logging.h>
#include <openssl/crypto.h>

#include <algorithm>
#include <atomic>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <map>
#include <utility>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>

#include "protocol/peer_codec.h"
#include "transport/connection_refusal_check.h"
#include "transport/io_inbox.h"
#include "transport/io_thread.h"
#include "transport/peer_delivery.h"
#include "transport/websocket_endpoints.h"

namespace papayaglade {

namespace {

using link_handle = websocketpp::connection_hdl;
using link_endpoints = websocket_endpoints<websocketpp::config::asio,
                                           websocketpp::config::asio_client>;
using message_pointer = websocketpp::config::asio::message_type::ptr;
using boost::system::error_code;

constexpr std::size_t kInboxCapacity = 65536;
constexpr std::size_t kMaxUnsentBytes = 8UL * 1024 * 1024;
constexpr std::size_t kMaxMessageBytes = 4UL * 1024 * 1024;
constexpr std::size_t kMaxQueuedMessages = 4096;
constexpr std::size_t kMaxLinks = 2048;
constexpr std::chrono::milliseconds kHandshakeTimeout{1000};
constexpr std::chrono::milliseconds kRefusalCheckTimeout{500};
constexpr std::chrono::milliseconds kLinkCheckInterval{100};
// A link without a hello within this time is closed. Its other end is not an
// instance of the system, because it has not presented the key.
constexpr std::chrono::milliseconds kHelloTimeout{2000};
// A link on which nothing has been received since an unanswered message is
// pinged after kPingDelay and closed after kSilenceTimeout.
constexpr std::chrono::milliseconds kPingDelay{500};
constexpr std::chrono::milliseconds kSilenceTimeout{1200};

bool KeysMatch(const std::string& a, const std::string& b) {
  if (a.size() != b.size()) return false;
  return CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

bool IsControl(const peer_message& message) {
  return std::holds_alternative<control_message>(message);
}

}  // namespace

class peer_links::implementation {
 public:
  implementation(const instance_settings& settings,
                 const instance_identity& self, router_ring& router,
                 steward_ring& stewards, control_ring& control)
      : settings_(settings),
        self_(self),
        delivery_(router, stewards, control),
        thread_("peers"),
        inbox_(thread_.Io(), kInboxCapacity,
               [](const std::function<void()>& job) { job(); }),
        check_timer_(thread_.Io()),
        endpoints_(thread_.Io(), kMaxMessageBytes, kHandshakeTimeout) {
    endpoints_.ForEachEndpoint([this](auto& end) { SetHandlers(end); });
    endpoints_.Server().set_open_handler([this](const link_handle& handle) {
      if (links_.size() >= kMaxLinks) return CloseHandle(handle, false);
      AddLink(handle, false, "");
    });
  }

  std::string Listen(const endpoint& address) {
    return endpoints_.Listen(address);
  }

  void Start() {
    thread_.Start();
    inbox_.TryPush([this] { ScheduleCheck(); });
  }

  void Stop() { thread_.Stop(); }

  bool Post(std::function<void()> job) {
    return inbox_.TryPush(std::move(job));
  }

  void Send(const std::string& peer, const peer_message& message) {
    peer_state& state = peers_[peer];
    const bool control = IsControl(message);
    std::string bytes = EncodePeerMessage(message);
    if (link* open = FindLink(state)) return Write(*open, bytes, control);
    if (state.queued.size() >= kMaxQueuedMessages) {
      return Report(peer, peer_link_event::link_state::kClosed);
    }
    state.queued.push_back({std::move(bytes), control});
    if (!state.dialling) DialPeer(peer, state);
  }

  void SetAddress(const instance_identity& peer, const endpoint& address) {
    peer_state& state = peers_[peer.name];
    const bool changed =
        state.address != address || state.incarnation != peer.incarnation;
    state.address = address;
    state.incarnation = peer.incarnation;
    if (changed) CloseStaleLinks(peer);
  }

  void Dial(const std::string& peer) { DialPeer(peer, peers_[peer]); }

  void Forget(const std::string& peer) {
    std::vector<link_handle> handles;
    for (const auto& each : links_) {
      if (each.second.peer.name == peer) handles.push_back(each.first);
    }
    for (const link_handle& handle : handles) CloseLink(handle);
    peers_.erase(peer);
  }

  peer_traffic Traffic() const {
    return {control_messages_sent_, control_bytes_sent_,
            control_bytes_received_, query_bytes_sent_, query_bytes_received_};
  }

 private:
  struct link {
    link_handle handle;
    /// True if this instance opened the link; false if it accepted it.
    bool dialled = false;
    bool established = false;  ///< The peer's hello was accepted.
    instance_identity peer;
    monotonic_time opened;
    /// Time at which the oldest unanswered message was sent. Empty if something
    /// has been received since the last message.
    std::optional<monotonic_time> unanswered_since;
    unsent_frames unsent;
  };
  struct queued_message {
    std::string bytes;
    bool control = false;
  };
  struct peer_state {
    endpoint address;
    std::uint64_t incarnation = 0;
    bool dialling = false;
    /// Messages to send once a link is established.
    std::deque<queued_message> queued;
    /// The established links; points into `links_`.
    std::vector<link*> established;
  };
  struct dialled_peer {
    instance_identity peer;
    endpoint address;
  };
  using link_map = std::map<link_handle, link, std::owner_less<link_handle>>;

  template <typename Endpoint>
  void SetHandlers(Endpoint& end) {
    end.set_message_handler(
        [this](const link_handle& handle, const message_pointer& message) {
          OnMessage(handle, message->get_payload());
        });
    end.set_pong_handler([this](const link_handle& handle, const std::string&) {
      ClearUnanswered(handle);
    });
    end.set_close_handler(
        [this](const link_handle& handle) { OnClosed(handle); });
  }

  void DialPeer(const std::string& peer, peer_state& state) {
    if (state.address.port == 0) {
      return OnDialFailed({peer, state.incarnation},
                          peer_link_event::link_state::kClosed);
    }
    websocketpp::lib::error_code failed;
    const auto connection = endpoints_.CreateConnection(state.address, failed);
    if (failed) {
      return OnDialFailed({peer, state.incarnation},
                          peer_link_event::link_state::kClosed);
    }
    state.dialling = true;
    // Identifies the opening instance to proxies between the two ends.
    connection->append_header("X-Papayaglade-Instance", self_.name);
    connection->set_open_handler([this, peer](const link_handle& handle) {
      AddLink(handle, true, peer);
    });
    const dialled_peer dialled{{peer, state.incarnation}, state.address};
    connection->set_fail_handler(
        [this, dialled](const link_handle&) { DiagnoseDialFailure(dialled); });
    endpoints_.Client().connect(connection);
  }

  // The library does not report why a connection failed, and only a refused
  // connection proves that the process has stopped. The incarnation that was
  // dialled is reported, even if a newer incarnation has its name by now.
  void DiagnoseDialFailure(const dialled_peer& dialled) {
    CheckConnectionRefused(
        thread_.Io(), dialled.address, kRefusalCheckTimeout,
        [this, peer = dialled.peer](bool refused) {
          OnDialFailed(peer, refused ? peer_link_event::link_state::kRefused
                                     : peer_link_event::link_state::kSilent);
        });
  }

  void OnDialFailed(const instance_identity& peer,
                    peer_link_event::link_state state) {
    peer_state& dialled = peers_[peer.name];
    dialled.dialling = false;
    dialled.queued.clear();
    Report(peer, state);
  }

  void AddLink(const link_handle& handle, bool dialled,
               const std::string& peer) {
    link& added = links_[handle];
    added.handle = handle;
    added.dialled = dialled;
    added.peer.name = peer;
    added.opened = monotonic_clock::now();
    const peer_hello hello{self_, settings_.data_centre, settings_.peer_key};
    Write(added, EncodePeerMessage(hello), true);
  }

  void OnMessage(const link_handle& handle, const std::string& bytes) {
    const auto found = links_.find(handle);
    if (found == links_.end()) return;
    ClearUnanswered(handle);
    std::optional<peer_message> message = DecodePeerMessage(bytes);
    if (!message.has_value()) {
      LOG(WARNING) << "event=peer_message_malformed peer="
                   << found->second.peer.name;
      return CloseLink(handle);
    }
    CountReceived(*message, bytes.size());
    std::visit([this, &found](auto& each) { Receive(found->second, each); },
               *message);
  }

  void CountReceived(const peer_message& message, std::size_t size) {
    if (IsControl(message)) {
      control_bytes_received_ += size;
    } else {
      query_bytes_received_ += size;
    }
  }

  void Receive(link& from, const peer_hello& hello) {
    const bool expected =
        !from.dialled || hello.identity.name == from.peer.name;
    if (!KeysMatch(hello.peer_key, settings_.peer_key) || !expected) {
      LOG(WARNING) << "event=peer_refused peer=" << hello.identity.name
                   << " reason=wrong_key_or_name";
      return CloseLink(from.handle);
    }
    if (from.established) return CloseLink(from.handle);
    from.established = true;
    from.peer = hello.identity;
    peer_state& state = peers_[hello.identity.name];
    state.established.push_back(&from);
    if (from.dialled) state.dialling = false;
    for (const queued_message& each : std::exchange(state.queued, {})) {
      Write(from, each.bytes, each.control);
    }
    Report(hello.identity, peer_link_event::link_state::kUp);
  }

  void Receive(link& from, shard_batch& batch) {
    if (!from.established || batch.origin != from.peer) {
      return CloseLink(from.handle);
    }
    const auto refusal = delivery_.Deliver(std::move(batch));
    if (refusal.has_value()) Write(from, EncodePeerMessage(*refusal), false);
  }

  void Receive(link& from, shard_results& results) {
    if (!from.established) return CloseLink(from.handle);
    delivery_.Deliver(std::move(results));
  }

  void Receive(link& from, shard_cancel& cancel) {
    if (!from.established) return CloseLink(from.handle);
    delivery_.Deliver(std::move(cancel));
  }

  void Receive(link& from, control_message& message) {
    if (!from.established) return CloseLink(from.handle);
    delivery_.Deliver(from.peer, std::move(message));
  }

  // Returns the link to send on, preferably one to the newest incarnation of
  // the peer, or null if no link is established.
  static link* FindLink(const peer_state& state) {
    for (link* each : state.established) {
      if (each->peer.incarnation == state.incarnation) return each;
    }
    return state.established.empty() ? nullptr : state.established.front();
  }

  void Write(link& to, const std::string& bytes, bool control) {
    // The limit is checked before a message is added, because a link that is
    // cut off holds all it is given.
    if (to.unsent.Bytes() + bytes.size() > kMaxUnsentBytes)
      return CloseLink(to.handle);
    const link_frame_pointer frame = MakeLinkFrame(
        bytes, to.dialled ? link_end::kDialling : link_end::kAccepting);
    to.unsent.Add(frame, monotonic_clock::now());
    // The result is ignored, because the close handler reports a link that
    // cannot send.
    endpoints_.Send(to.handle, to.dialled, frame);
    if (!to.unanswered_since) to.unanswered_since = monotonic_clock::now();
    if (control) {
      ++control_messages_sent_;
      control_bytes_sent_ += bytes.size();
    } else {
      query_bytes_sent_ += bytes.size();
    }
  }

  void ClearUnanswered(const link_handle& handle) {
    const auto found = links_.find(handle);
    if (found == links_.end()) return;
    found->second.unanswered_since.reset();
  }

  void OnClosed(const link_handle& handle) {
    const auto found = links_.find(handle);
    if (found == links_.end()) return;
    const link closed = found->second;
    if (closed.established) {
      std::vector<link*>& established = peers_[closed.peer.name].established;
      established.erase(
          std::remove(established.begin(), established.end(), &found->second),
          established.end());
    }
    links_.erase(found);
    // A dialled link that closes before the hello counts as a failed dial.
    // Otherwise no later message would dial the peer again.
    if (closed.dialled && !closed.established) {
      const std::string& name = closed.peer.name;
      return OnDialFailed({name, peers_[name].incarnation},
                          peer_link_event::link_state::kClosed);
    }
    if (closed.established && !HasLink(closed.peer)) {
      Report(closed.peer, peer_link_event::link_state::kClosed);
    }
  }

  bool HasLink(const instance_identity& peer) {
    const std::vector<link*>& established = peers_[peer.name].established;
    return std::any_of(
        established.begin(), established.end(),
        [&peer](const link* each) { return each->peer == peer; });
  }

  void CloseStaleLinks(const instance_identity& peer) {
    std::vector<link_handle> stale;
    for (const auto& each : links_) {
      const instance_identity& other = each.second.peer;
      if (other.name == peer.name && other.incarnation != 0 &&
          other.incarnation != peer.incarnation) {
        stale.push_back(each.first);
      }
    }
    for (const link_handle& handle : stale) CloseLink(handle);
  }

  void CloseLink(const link_handle& handle) {
    const auto found = links_.find(handle);
    if (found == links_.end()) return;
    const bool dialled = found->second.dialled;
    CloseHandle(handle, dialled);
    OnClosed(handle);
  }

  void CloseHandle(const link_handle& handle, bool dialled) {
    endpoints_.Close(handle, dialled,
                     websocketpp::close::status::policy_violation);
  }

  void ScheduleCheck() {
    check_timer_.expires_after(kLinkCheckInterval);
    check_timer_.async_wait([this](const error_code& failed) {
      if (failed) return;
      CheckLinks(monotonic_clock::now());
      ScheduleCheck();
    });
  }

  void CheckLinks(monotonic_time now) {
    std::vector<link_handle> silent;
    for (auto& each : links_) {
      link& checked = each.second;
      const bool hello_overdue =
          !checked.established && now - checked.opened >= kHelloTimeout;
      if (hello_overdue) silent.push_back(each.first);
      if (hello_overdue || !checked.unanswered_since) continue;
      const auto silence = now - *checked.unanswered_since;
      if (silence >= kSilenceTimeout) {
        silent.push_back(each.first);
      } else if (silence >= kPingDelay) {
        endpoints_.Ping(checked.handle, checked.dialled);
      }
    }
    for (const link_handle& handle : silent) {
      const instance_identity peer = links_.at(handle).peer;
      LOG(WARNING) << "event=peer_link_silent peer=" << peer.name;
      CloseLink(handle);
      Report(peer, peer_link_event::link_state::kSilent);
    }
  }

  void Report(const std::string& peer, peer_link_event::link_state state) {
    const auto found = peers_.find(peer);
    const std::uint64_t incarnation =
        found == peers_.end() ? 0 : found->second.incarnation;
    Report(instance_identity{peer, incarnation}, state);
  }

  void Report(const instance_identity& peer,
              peer_link_event::link_state state) {
    delivery_.Report({peer, state});
  }

  const instance_settings settings_;
  const instance_identity self_;
  peer_delivery delivery_;
  io_thread thread_;
  io_inbox<std::function<void()>> inbox_;
  boost::asio::steady_timer check_timer_;
  link_endpoints endpoints_;
  link_map links_;
  std::map<std::string, peer_state> peers_;
  std::atomic<std::uint64_t> control_messages_sent_{0};
  std::atomic<std::uint64_t> control_bytes_sent_{0};
  std::atomic<std::uint64_t> control_bytes_received_{0};
  std::atomic<std::uint64_t> query_bytes_sent_{0};
  std::atomic<std::uint64_t> query_bytes_received_{0};
};

peer_links::peer_links(const instance_settings& settings,
                       const instance_identity& self, router_ring& router,
                       steward_ring& stewards, control_ring& control)
    : implementation_(std::make_unique<implementation>(settings, self, router,
                                                       stewards, control)) {}

peer_links::~peer_links() { Stop(); }

std::string peer_links::Listen(const endpoint& address) {
  return implementation_->Listen(address);
}

void peer_links::Start() { implementation_->Start(); }

void peer_links::Stop() { implementation_->Stop(); }

bool peer_links::Send(const std::string& peer, peer_message message) {
  return implementation_->Post([this, peer, message = std::move(message)] {
    implementation_->Send(peer, message);
  });
}

void peer_links::SetAddress(const instance_identity& peer,
                            const endpoint& address) {
  implementation_->Post(
      [this, peer, address] { implementation_->SetAddress(peer, address); });
}

void peer_links::Dial(const std::string& peer) {
  implementation_->Post([this, peer] { implementation_->Dial(peer); });
}

void peer_links::Forget(const std::string& peer) {
  implementation_->Post([this, peer] { implementation_->Forget(peer); });
}

peer_traffic peer_links::Traffic() const { return implementation_->Traffic(); }

}  // namespace papayaglade
