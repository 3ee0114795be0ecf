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

constexpr milliseconds kTargetCheckInterval{50};
constexpr std::size_t kChunkBytes = 65'536;
// The first request on a peer link names the instance that opens the link.
constexpr char kInstanceHeader[] = "X-Papayaglade-Instance: ";

tcp::endpoint Loopback(std::uint16_t port) {
  return {asio::ip::address_v4::loopback(), port};
}

std::string ParseInstanceName(const std::string& request) {
  const std::size_t header = request.find(kInstanceHeader);
  if (header == std::string::npos) return "";
  const std::size_t start = header + sizeof(kInstanceHeader) - 1;
  return request.substr(start, request.find('\r', start) - start);
}

// Bytes in transit in one direction of a relayed connection.
struct direction {
  struct chunk {
    monotonic_time due;
    std::string bytes;
  };
  explicit direction(asio::io_context& io) : timer(io) {}

  std::array<char, kChunkBytes> buffer;
  std::deque<chunk> queued;
  asio::steady_timer timer;
  bool writing = false;
};

}  // namespace

class tcp_relay::session : public std::enable_shared_from_this<session> {
 public:
  session(tcp_relay& relay, tcp::socket client)
      : relay_(relay),
        client_(std::move(client)),
        target_(relay.io_),
        to_target_(relay.io_),
        to_client_(relay.io_) {
    relay_.sessions_.insert(this);
  }

  ~session() { relay_.sessions_.erase(this); }

  session(const session&) = delete;
  session& operator=(const session&) = delete;

  // Reads the first bytes before it connects to the target, because they name
  // the instance that opened the connection.
  void Start() {
    client_.async_read_some(
        asio::buffer(to_target_.buffer),
        [self = shared_from_this()](error_code failed, std::size_t size) {
          if (failed) return self->Reset();
          self->Identify(std::string(self->to_target_.buffer.data(), size));
        });
  }

  void Reset() {
    ResetSocket(client_);
    ResetSocket(target_);
    to_target_.timer.cancel();
    to_client_.timer.cancel();
  }

  void Silence() { silent_ = true; }
  const std::string& InstanceName() const { return instance_name_; }

 private:
  void Identify(const std::string& first_bytes) {
    instance_name_ = ParseInstanceName(first_bytes);
    const fault& active = relay_.FindFault(instance_name_);
    if (active.cut) return Reset();
    silent_ = active.silent;
    target_.async_connect(relay_.target_, [self = shared_from_this(),
                                           first_bytes](error_code failed) {
      if (failed) {
        self->relay_.OnTargetChecked(true);
        return self->Reset();
      }
      self->StartRelaying(first_bytes);
    });
  }

  void StartRelaying(const std::string& first_bytes) {
    error_code ignored;
    client_.set_option(tcp::no_delay(true), ignored);
    target_.set_option(tcp::no_delay(true), ignored);
    Queue(to_target_, target_, first_bytes);
    Read(client_, to_target_, target_);
    Read(target_, to_client_, client_);
  }

  void Read(tcp::socket& from, direction& flow, tcp::socket& to) {
    from.async_read_some(
        asio::buffer(flow.buffer), [self = shared_from_this(), &from, &flow,
                                    &to](error_code failed, std::size_t size) {
          if (self->silent_) return;
          if (failed) return self->Finish();
          self->Queue(flow, to, std::string(flow.buffer.data(), size));
          self->Read(from, flow, to);
        });
  }

  // Closes both ends after the queued bytes have been delivered.
  void Finish() {
    if (to_target_.queued.empty() && to_client_.queued.empty()) {
      error_code ignored;
      client_.close(ignored);
      target_.close(ignored);
      return relay_.CheckTarget();
    }
    finishing_ = true;
  }

  void Queue(direction& flow, tcp::socket& to, std::string bytes) {
    const milliseconds delay = relay_.FindFault(instance_name_).delay;
    flow.queued.push_back({monotonic_clock::now() + delay, std::move(bytes)});
    if (!flow.writing) WriteNext(flow, to);
  }

  void WriteNext(direction& flow, tcp::socket& to) {
    flow.writing = !flow.queued.empty();
    if (!flow.writing) {
      if (finishing_) Finish();
      return;
    }
    flow.timer.expires_at(flow.queued.front().due);
    flow.timer.async_wait([self = shared_from_this(), &flow, &to](error_code) {
      if (!self->silent_) self->Write(flow, to);
    });
  }

  void Write(direction& flow, tcp::socket& to) {
    asio::async_write(to, asio::buffer(flow.queued.front().bytes),
                      [self = shared_from_this(), &flow, &to](error_code failed,
                                                              std::size_t) {
                        if (failed) return self->Reset();
                        flow.queued.pop_front();
                        self->WriteNext(flow, to);
                      });
  }

  tcp_relay& relay_;
  tcp::socket client_;
  tcp::socket target_;
  direction to_target_;
  direction to_client_;
  std::string instance_name_;
  bool silent_ = false;
  bool finishing_ = false;
};

tcp_relay::tcp_relay(asio::io_context& io, const nlohmann::json& definition)
    : io_(io),
      listen_endpoint_(Loopback(definition.at("port").get<std::uint16_t>())),
      target_(Loopback(definition.at("target").get<std::uint16_t>())),
      acceptor_(io),
      check_socket_(io),
      check_timer_(io) {}

bool tcp_relay::Open() {
  CheckTarget();
  return true;
}

void tcp_relay::Command(const nlohmann::json& command) {
  const std::string action = command.at("do");
  const std::string from = command.value("from", "");
  fault& active = faults_[from];
  if (action == "heal") {
    active = fault{};
  } else if (action == "cut") {
    active.cut = true;
  } else if (action == "silence") {
    active.silent = command.value("new_too", false);
  } else if (action == "delay") {
    active.delay = milliseconds(command.at("delay_ms").get<int>());
  }
  const std::vector<session*> open(sessions_.begin(), sessions_.end());
  for (session* each : open) {
    if (!from.empty() && each->InstanceName() != from) continue;
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

void tcp_relay::CheckTarget() {
  error_code ignored;
  check_socket_.close(ignored);
  check_socket_.async_connect(target_, [this](error_code failed) {
    if (failed == asio::error::operation_aborted) return;
    OnTargetChecked(failed == asio::error::connection_refused);
  });
}

void tcp_relay::OnTargetChecked(bool refused) {
  error_code failed;
  check_socket_.close(failed);
  if (refused) {
    acceptor_.close(failed);
    check_timer_.expires_after(kTargetCheckInterval);
    check_timer_.async_wait([this](error_code cancelled) {
      if (!cancelled) CheckTarget();
    });
    return;
  }
  if (acceptor_.is_open()) return;
  acceptor_.open(listen_endpoint_.protocol(), failed);
  if (!failed) acceptor_.set_option(tcp::acceptor::reuse_address(true));
  if (!failed) acceptor_.bind(listen_endpoint_, failed);
  if (!failed) acceptor_.listen(tcp::acceptor::max_listen_connections, failed);
  if (!failed) Accept();
}

const tcp_relay::fault& tcp_relay::FindFault(const std::string& from) const {
  static const fault no_fault;
  for (const std::string& name : {from, std::string()}) {
    const auto found = faults_.find(name);
    if (found != faults_.end()) return found->second;
  }
  return no_fault;
}

}  // namespace papayaglade
