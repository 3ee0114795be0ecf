#include "tcp_relay.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/address_v4.hpp>
#include <boost/asio/write.hpp>
#include <deque>
#include <memory>
#include <utility>
#include <vector>

#include "http_port.h"
#include "state/time.h"

namespace papayaglade {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using boost::system::error_code;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds kTargetCheckPeriod{50};
constexpr std::size_t kChunkBytes = 65'536;
// The first request of a peer link names the instance that opens it.
constexpr char kInstanceHeader[] = "X-Papayaglade-Instance: ";

tcp::endpoint Loopback(std::uint16_t port) {
  return {asio::ip::address_v4::loopback(), port};
}

std::string NameIn(const std::string& request) {
  const std::size_t header = request.find(kInstanceHeader);
  if (header == std::string::npos) return "";
  const std::size_t start = header + sizeof(kInstanceHeader) - 1;
  return request.substr(start, request.find('\r', start) - start);
}

// One direction of a relayed connection.
struct direction {
  struct chunk {
    monotonic_time due;
    std::string bytes;
  };
  explicit direction(asio::io_context& io) : timer(io) {}

  std::array<char, kChunkBytes> buffer;
  std::deque<chunk> waiting;
  asio::steady_timer timer;
  bool writing = false;
};

}  // namespace

class tcp_relay::session : public std::enable_shared_from_this<session> {
 public:
  session(tcp_relay& relay, tcp::socket opener)
      : relay_(relay),
        opener_(std::move(opener)),
        target_(relay.io_),
        to_target_(relay.io_),
        to_opener_(relay.io_) {
    relay_.sessions_.insert(this);
  }

  ~session() { relay_.sessions_.erase(this); }

  session(const session&) = delete;
  session& operator=(const session&) = delete;

  // The first bytes are read before the target is connected, because they
  // tell whose connection it is.
  void Start() {
    opener_.async_read_some(
        asio::buffer(to_target_.buffer),
        [self = shared_from_this()](error_code failed, std::size_t size) {
          if (failed) return self->Reset();
          self->Identify(std::string(self->to_target_.buffer.data(), size));
        });
  }

  void Reset() {
    ResetSocket(opener_);
    ResetSocket(target_);
    to_target_.timer.cancel();
    to_opener_.timer.cancel();
  }

  void Silence() { silent_ = true; }
  const std::string& From() const { return from_; }

 private:
  void Identify(const std::string& first) {
    from_ = NameIn(first);
    const fault& now = relay_.FaultOf(from_);
    if (now.cut) return Reset();
    silent_ = now.silent;
    target_.async_connect(
        relay_.target_, [self = shared_from_this(), first](error_code failed) {
          if (failed) {
            self->relay_.OnTargetChecked(true);
            return self->Reset();
          }
          self->Pass(first);
        });
  }

  void Pass(const std::string& first) {
    error_code ignored;
    opener_.set_option(tcp::no_delay(true), ignored);
    target_.set_option(tcp::no_delay(true), ignored);
    Queue(to_target_, target_, first);
    Read(opener_, to_target_, target_);
    Read(target_, to_opener_, opener_);
  }

  void Read(tcp::socket& from, direction& way, tcp::socket& to) {
    from.async_read_some(
        asio::buffer(way.buffer), [self = shared_from_this(), &from, &way, &to](
                                      error_code failed, std::size_t size) {
          if (self->silent_) return;
          if (failed) return self->End();
          self->Queue(way, to, std::string(way.buffer.data(), size));
          self->Read(from, way, to);
        });
  }

  // Bytes on the way are still delivered; then both ends are closed.
  void End() {
    if (to_target_.waiting.empty() && to_opener_.waiting.empty()) {
      error_code ignored;
      opener_.close(ignored);
      target_.close(ignored);
      return relay_.WatchTarget();
    }
    ended_ = true;
  }

  void Queue(direction& way, tcp::socket& to, std::string bytes) {
    const milliseconds delay = relay_.FaultOf(from_).delay;
    way.waiting.push_back({monotonic_clock::now() + delay, std::move(bytes)});
    if (!way.writing) WriteNext(way, to);
  }

  void WriteNext(direction& way, tcp::socket& to) {
    way.writing = !way.waiting.empty();
    if (!way.writing) {
      if (ended_) End();
      return;
    }
    way.timer.expires_at(way.waiting.front().due);
    way.timer.async_wait([self = shared_from_this(), &way, &to](error_code) {
      if (!self->silent_) self->Write(way, to);
    });
  }

  void Write(direction& way, tcp::socket& to) {
    asio::async_write(
        to, asio::buffer(way.waiting.front().bytes),
        [self = shared_from_this(), &way, &to](error_code failed, std::size_t) {
          if (failed) return self->Reset();
          way.waiting.pop_front();
          self->WriteNext(way, to);
        });
  }

  tcp_relay& relay_;
  tcp::socket opener_;
  tcp::socket target_;
  direction to_target_;
  direction to_opener_;
  std::string from_;
  bool silent_ = false;
  bool ended_ = false;
};

tcp_relay::tcp_relay(asio::io_context& io, const nlohmann::json& definition)
    : io_(io),
      where_(Loopback(definition.at("port").get<std::uint16_t>())),
      target_(Loopback(definition.at("target").get<std::uint16_t>())),
      acceptor_(io),
      check_(io),
      check_timer_(io) {}

bool tcp_relay::Open() {
  WatchTarget();
  return true;
}

void tcp_relay::Command(const nlohmann::json& command) {
  const std::string action = command.at("do");
  const std::string from = command.value("from", "");
  fault& now = faults_[from];
  if (action == "heal") {
    now = fault{};
  } else if (action == "cut") {
    now.cut = true;
  } else if (action == "silence") {
    now.silent = command.value("new_too", false);
  } else if (action == "delay") {
    now.delay = milliseconds(command.at("delay_ms").get<int>());
  }
  const std::vector<session*> open(sessions_.begin(), sessions_.end());
  for (session* each : open) {
    if (!from.empty() && each->From() != from) continue;
    if (action == "cut") each->Reset();
    if (action == "silence") each->Silence();
  }
}

nlohmann::json tcp_relay::Summary() const {
  return {{"connections", sessions_.size()}};
}

void tcp_relay::Accept() {
  acceptor_.async_accept([this](error_code failed, tcp::socket socket) {
    if (failed == asio::error::operation_aborted) return;
    if (!failed) std::make_shared<session>(*this, std::move(socket))->Start();
    if (acceptor_.is_open()) Accept();
  });
}

void tcp_relay::WatchTarget() {
  error_code ignored;
  check_.close(ignored);
  check_.async_connect(target_, [this](error_code failed) {
    if (failed == asio::error::operation_aborted) return;
    OnTargetChecked(failed == asio::error::connection_refused);
  });
}

void tcp_relay::OnTargetChecked(bool refused) {
  error_code failed;
  check_.close(failed);
  if (refused) {
    acceptor_.close(failed);
    check_timer_.expires_after(kTargetCheckPeriod);
    check_timer_.async_wait([this](error_code cancelled) {
      if (!cancelled) WatchTarget();
    });
    return;
  }
  if (acceptor_.is_open()) return;
  acceptor_.open(where_.protocol(), failed);
  if (!failed) acceptor_.set_option(tcp::acceptor::reuse_address(true));
  if (!failed) acceptor_.bind(where_, failed);
  if (!failed) acceptor_.listen(tcp::acceptor::max_listen_connections, failed);
  if (!failed) Accept();
}

const tcp_relay::fault& tcp_relay::FaultOf(const std::string& from) const {
  static const fault no_fault;
  for (const std::string& name : {from, std::string()}) {
    const auto found = faults_.find(name);
    if (found != faults_.end()) return found->second;
  }
  return no_fault;
}

}  // namespace papayaglade
