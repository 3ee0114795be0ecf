#include "transport/http_server.h"

#include <glog/logging.h>

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <optional>
#include <unordered_set>
#include <utility>
#include <vector>

#include "protocol/caller_codec.h"
#include "state/time.h"
#include "transport/io_thread.h"

namespace papayaglade {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr std::chrono::milliseconds kDrainPollInterval{20};
// Closing a connection with unread bytes resets it, which destroys an answer on
// its way. After the last answer, bytes are therefore read and dropped until
// the caller closes the connection, for this long at most.
constexpr std::chrono::milliseconds kCloseDelay{1000};
constexpr int kHttp11 = 11;

}  // namespace

class http_server::implementation {
 public:
  implementation(std::string name, const port_limits& limits, handler handler)
      : limits_(limits),
        handler_(std::move(handler)),
        thread_(std::move(name)),
        acceptor_(thread_.Io()),
        drain_timer_(thread_.Io()) {}

  std::string Bind(const endpoint& address) {
    error_code failed;
    const auto ip = asio::ip::make_address(address.address, failed);
    if (failed) return "not an IP address: " + address.address;
    const tcp::endpoint local(ip, address.port);
    acceptor_.open(local.protocol(), failed);
    if (!failed) acceptor_.set_option(tcp::acceptor::reuse_address(true));
    if (!failed) acceptor_.bind(local, failed);
    return failed ? failed.message() : std::string();
  }

  std::string Listen(const endpoint& address) {
    const std::string failed = Bind(address);
    return failed.empty() ? ListenOnBound() : failed;
  }

  void Start() {
    if (listening_) Accept();
    thread_.Start();
  }

  void StartListening() {
    asio::post(thread_.Io(), [this] {
      if (listening_ || draining_) return;
      const std::string failed = ListenOnBound();
      if (failed.empty()) return Accept();
      LOG(ERROR) << "event=listen_failed why=" << failed
                 << " remedy=free the port or set another one";
    });
  }

  void Drain(std::chrono::milliseconds min_idle, std::function<void()> done) {
    asio::post(thread_.Io(),
               [this, min_idle, done = std::move(done)]() mutable {
                 drain_min_idle_ = min_idle;
                 on_drained_ = std::move(done);
                 draining_ = true;
                 StopListening();
                 PollDrain();
               });
  }

  void Stop() { thread_.Stop(); }

  std::vector<unwritten_answer> Unwritten() const;

 private:
  class session;

  // Returns an empty string on success, otherwise the error.
  std::string ListenOnBound() {
    error_code failed;
    acceptor_.listen(tcp::acceptor::max_listen_connections, failed);
    listening_ = !failed;
    return failed ? failed.message() : std::string();
  }

  void Accept() {
    acceptor_.async_accept([this](error_code failed, tcp::socket socket) {
      if (failed == asio::error::operation_aborted) return;
      if (!failed) Admit(std::move(socket));
      if (acceptor_.is_open()) Accept();
    });
  }

  void Admit(tcp::socket socket);

  // Callers whose connections wait in the backlog have not been refused, so
  // these connections are served before the acceptor closes.
  void StopListening() {
    if (!listening_) return;
    error_code failed;
    acceptor_.cancel(failed);
    acceptor_.non_blocking(true, failed);
    while (!failed) {
      tcp::socket socket(thread_.Io());
      acceptor_.accept(socket, failed);
      if (!failed) Admit(std::move(socket));
    }
    acceptor_.close(failed);
  }

  // Closes idle sessions and repeats until no session is left.
  void PollDrain();

  port_limits limits_;
  handler handler_;
  // Outlives the sessions, which end with the thread's event loop at the
  // latest.
  std::unordered_set<session*> sessions_;
  io_thread thread_;
  tcp::acceptor acceptor_;
  asio::steady_timer drain_timer_;
  bool listening_ = false;
  bool draining_ = false;
  std::chrono::milliseconds drain_min_idle_{0};
  std::function<void()> on_drained_;
};

// Serves one connection: reads a request, waits for the response, writes it,
// and repeats.
class http_server::implementation::session
    : public std::enable_shared_from_this<session> {
 public:
  session(implementation& server, tcp::socket socket)
      : server_(server), stream_(std::move(socket)) {
    server_.sessions_.insert(this);
  }

  ~session() { server_.sessions_.erase(this); }

  session(const session&) = delete;
  session& operator=(const session&) = delete;

  void Start() {
    error_code ignored;
    stream_.socket().set_option(tcp::no_delay(true), ignored);
    Read();
  }

  std::optional<unwritten_answer> Unwritten() const {
    if (!writing_ || request_id_.empty()) return std::nullopt;
    return unwritten_answer{request_id_, read_at_};
  }

  void CloseIfIdle(monotonic_time now, std::chrono::milliseconds min_idle) {
    if (!reading_ || request_started_) return;
    if (buffer_.size() > 0 || now - idle_since_ < min_idle) return;
    error_code ignored;
    if (stream_.socket().available(ignored) > 0) return;
    // A read that has succeeded already is not cancelled: its request is
    // answered before the connection closes.
    stream_.cancel();
  }

 private:
  void Read() {
    reading_ = true;
    request_started_ = false;
    idle_since_ = monotonic_clock::now();
    parser_.emplace();
    parser_->body_limit(server_.limits_.body_bytes);
    parser_->header_limit(
        static_cast<std::uint32_t>(server_.limits_.header_bytes));
    stream_.expires_after(server_.limits_.idle_timeout);
    // The idle timeout ends at the first byte. From then on the shorter header
    // timeout applies, so that a partial request cannot hold a connection.
    if (buffer_.size() > 0) return ReadRequest();
    stream_.async_read_some(
        buffer_.prepare(kFirstReadBytes),
        [self = this->shared_from_this()](error_code failed, std::size_t n) {
          if (failed) return self->Close();
          self->buffer_.commit(n);
          self->ReadRequest();
        });
  }

  void ReadRequest() {
    request_started_ = true;
    stream_.expires_after(server_.limits_.header_timeout);
    http::async_read(
        stream_, buffer_, *parser_,
        [self = this->shared_from_this()](error_code failed, std::size_t) {
          self->OnRead(failed);
        });
  }

  void OnRead(error_code failed) {
    reading_ = false;
    if (failed == http::error::body_limit) {
      return RefuseAndClose(
          {error_kind::kTooLarge, "body", "the body is too large",
           "send at most " + std::to_string(server_.limits_.body_bytes) +
               " bytes"});
    }
    if (failed == http::error::header_limit) {
      return RefuseAndClose(
          {error_kind::kTooLarge, "headers", "the headers are too large",
           "send at most " + std::to_string(server_.limits_.header_bytes) +
               " bytes of headers"});
    }
    const bool malformed =
        failed &&
        failed.category() ==
            make_error_code(http::error::bad_method).category() &&
        failed != http::error::end_of_stream &&
        failed != http::error::partial_message;
    if (malformed) {
      return RefuseAndClose({error_kind::kInvalidInput, "headers",
                             "malformed HTTP: " + failed.message(),
                             "send a well-formed HTTP/1.1 request"});
    }
    if (failed) return;
    Dispatch();
  }

  void Dispatch() {
    const auto& message = parser_->get();
    keep_alive_ = message.keep_alive();
    read_at_ = monotonic_clock::now();
    http_request request{
        std::string(message.method_string()), std::string(message.target()),
        std::string(message[http::field::content_type]), message.body()};
    stream_.expires_never();
    // The responder may run on another thread, but the stream may only be used
    // on the server's thread.
    auto responder =
        [self = this->shared_from_this()](http_response response) mutable {
          asio::post(self->server_.thread_.Io(),
                     [self, response = std::move(response)]() mutable {
                       self->Write(std::move(response));
                     });
        };
    server_.handler_(std::move(request), std::move(responder));
  }

  void RefuseAndClose(const error& cause) {
    keep_alive_ = false;
    Write(FormatCallerError(cause));
  }

  void Write(http_response response) {
    if (server_.draining_) keep_alive_ = false;
    response_ = {static_cast<http::status>(response.status), kHttp11};
    response_.set(http::field::content_type, response.content_type);
    response_.keep_alive(keep_alive_);
    response_.body() = std::move(response.body);
    request_id_ = std::move(response.request_id);
    writing_ = true;
    response_.prepare_payload();
    stream_.expires_after(server_.limits_.header_timeout);
    http::async_write(
        stream_, response_,
        [self = this->shared_from_this()](error_code failed, std::size_t) {
          self->writing_ = false;
          if (failed) return self->Close();
          if (self->keep_alive_) return self->Read();
          self->EndWriting();
        });
  }

  // The session stays in the set, because the answer may still be on its way.
  void EndWriting() {
    error_code ignored;
    stream_.socket().shutdown(tcp::socket::shutdown_send, ignored);
    stream_.expires_after(kCloseDelay);
    DropUntilEnd();
  }

  void DropUntilEnd() {
    buffer_.clear();
    stream_.async_read_some(
        buffer_.prepare(kDropReadBytes),
        [self = this->shared_from_this()](error_code failed, std::size_t) {
          if (failed) return self->Close();
          self->DropUntilEnd();
        });
  }

  // The handler may keep the responder, and with it the session, after the
  // answer. The session therefore leaves the set here rather than in its
  // destructor, so that it does not delay a drain.
  void Close() {
    server_.sessions_.erase(this);
    error_code ignored;
    stream_.socket().shutdown(tcp::socket::shutdown_send, ignored);
  }

  static constexpr std::size_t kFirstReadBytes = 4096;
  static constexpr std::size_t kDropReadBytes = 16384;

  implementation& server_;
  beast::tcp_stream stream_;
  beast::flat_buffer buffer_;
  std::optional<http::request_parser<http::string_body>> parser_;
  http::response<http::string_body> response_;
  bool reading_ = false;          // Waits for a request or reads one.
  bool request_started_ = false;  // The first byte of a request has arrived.
  bool writing_ = false;          // Writes a response.
  bool keep_alive_ = true;
  std::string request_id_;  // Of the response that is being written.
  monotonic_time read_at_;  // When the latest request was read.
  monotonic_time idle_since_;
};

void http_server::implementation::Admit(tcp::socket socket) {
  // Connections over the limit are closed without a response, because sending
  // one would take the memory that the limit protects.
  if (sessions_.size() >= limits_.connections) return;
  std::make_shared<session>(*this, std::move(socket))->Start();
}

std::vector<unwritten_answer> http_server::implementation::Unwritten() const {
  std::vector<unwritten_answer> all;
  for (const session* each : sessions_) {
    std::optional<unwritten_answer> answer = each->Unwritten();
    if (answer.has_value()) all.push_back(std::move(*answer));
  }
  return all;
}

void http_server::implementation::PollDrain() {
  const monotonic_time now = monotonic_clock::now();
  const std::vector<session*> open(sessions_.begin(), sessions_.end());
  for (session* each : open) each->CloseIfIdle(now, drain_min_idle_);
  if (sessions_.empty()) {
    if (on_drained_) std::exchange(on_drained_, nullptr)();
    return;
  }
  drain_timer_.expires_after(kDrainPollInterval);
  drain_timer_.async_wait([this](error_code failed) {
    if (!failed) PollDrain();
  });
}

http_server::http_server(std::string name, const port_limits& limits,
                         handler handler)
    : implementation_(std::make_unique<implementation>(std::move(name), limits,
                                                       std::move(handler))) {}

http_server::~http_server() { Stop(); }

std::string http_server::Listen(const endpoint& address) {
  return implementation_->Listen(address);
}

std::string http_server::Bind(const endpoint& address) {
  return implementation_->Bind(address);
}

void http_server::Start() { implementation_->Start(); }

void http_server::StartListening() { implementation_->StartListening(); }

void http_server::Drain(std::chrono::milliseconds min_idle,
                        std::function<void()> done) {
  implementation_->Drain(min_idle, std::move(done));
}

void http_server::Stop() { implementation_->Stop(); }

std::vector<unwritten_answer> http_server::Unwritten() const {
  return implementation_->Unwritten();
}

}  // namespace papayaglade
