#include <algorithm>
#include <atomic>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "store_standin.h"
#include "transport/caller_port.h"

namespace papayaglade {

namespace {

using std::chrono::milliseconds;
using tcp = boost::asio::ip::tcp;

/// Answers each request with the function of a test.
class scripted_service : public caller_port::service {
 public:
  using connection = std::shared_ptr<caller_connection>;

  caller_limits Limits() const override { return limits; }
  void OnRequest(const connection& from, caller_message message) override {
    targets.emplace_back(message.target());
    ++requests;
    if (answer) return answer(from, message);
    from->Respond("[" + targets.back() + "]", !message.keep_alive());
  }
  void OnMalformed(const connection& from, bool too_large) override {
    ++refusals;
    from->Respond(too_large ? "[large]" : "[bad]", true);
  }

  caller_limits limits;
  std::function<void(const connection&, const caller_message&)> answer;
  std::vector<std::string> targets;
  std::atomic<std::size_t> requests{0};
  std::atomic<std::size_t> refusals{0};
};

/// A port whose loop runs on its own thread after Run.
class port_process {
 public:
  explicit port_process(std::size_t max_connections = 16)
      : port(loop, service, max_connections), address_(FindFreeEndpoint()) {
    REQUIRE(port.Listen(address_).empty());
  }
  ~port_process() {
    loop.Stop();
    if (thread_.joinable()) thread_.join();
  }

  void Run() {
    loop.Io().restart();
    thread_ = std::thread([this] { loop.Run(); });
  }

  tcp::endpoint Address() const {
    return {boost::asio::ip::address_v4::loopback(), address_.port};
  }

  loop_context loop;
  scripted_service service;
  caller_port port;

 private:
  endpoint address_;
  std::thread thread_;
};

/// A blocking connection of a caller.
class caller {
 public:
  explicit caller(const port_process& port, int receive_bytes = 0)
      : socket_(io_, tcp::v4()) {
    // Takes effect only before the connect.
    if (receive_bytes > 0) {
      socket_.set_option(
          boost::asio::socket_base::receive_buffer_size(receive_bytes));
    }
    socket_.connect(port.Address());
  }

  /// Returns whether all bytes were sent.
  bool Send(const std::string& bytes) {
    boost::system::error_code failed;
    boost::asio::write(socket_, boost::asio::buffer(bytes), failed);
    return !failed;
  }
  /// Returns the bytes that arrive, up to `count`.
  std::string Receive(std::size_t count) {
    std::string received;
    boost::asio::read(socket_, boost::asio::dynamic_buffer(received),
                      boost::asio::transfer_exactly(count), end);
    return received;
  }
  /// Returns all bytes that arrive, and sets `end`.
  std::string ReceiveAll() {
    std::string received;
    boost::asio::read(socket_, boost::asio::dynamic_buffer(received), end);
    return received;
  }
  void Close() { socket_.close(); }

  boost::system::error_code end;

 private:
  boost::asio::io_context io_;
  tcp::socket socket_;
};

std::string Repeated(const std::string& text, std::size_t count) {
  std::string out;
  out.reserve(text.size() * count);
  for (std::size_t i = 0; i < count; ++i) out += text;
  return out;
}

std::string PostWith(const std::string& body) {
  return "POST /a HTTP/1.1\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

const std::string kLastRequest =
    "GET /last HTTP/1.1\r\nConnection: close\r\n\r\n";

}  // namespace

// Guards against the end of the process by a recursion for each request.
TEST_CASE("any number of pipelined requests is answered", "[connection]") {
  port_process port;
  // The others arrive while the first one waits for its answer.
  port.service.answer = [&port](const scripted_service::connection& from,
                                const caller_message& message) {
    const bool last = !message.keep_alive();
    if (message.target() != "/first") {
      return from->Respond(last ? "[/last]" : "[/a]", last);
    }
    port.loop.ScheduleAfter(milliseconds(300), [from](monotonic_time) {
      from->Respond("[/first]", false);
    });
  };
  port.Run();
  const std::size_t count = GENERATE(5000, 100000);
  caller sender(port);
  std::thread sending([&] {
    sender.Send("GET /first HTTP/1.1\r\n\r\n" +
                Repeated("GET /a HTTP/1.1\r\n\r\n", count) + kLastRequest);
  });
  const std::string received = sender.ReceiveAll();
  sending.join();
  CHECK(received == "[/first]" + Repeated("[/a]", count) + "[/last]");
}

// Guards against a connection that keeps all others waiting.
TEST_CASE("pipelined requests leave other connections a turn", "[connection]") {
  port_process port;
  caller many(port);
  caller single(port);
  // All bytes have arrived before the port reads the first.
  many.Send(Repeated("GET /a HTTP/1.1\r\n\r\n", 3000));
  single.Send("GET /b HTTP/1.1\r\n\r\n");
  REQUIRE(RunUntil(port.loop, [&] { return port.service.requests == 3001; }));
  const auto& targets = port.service.targets;
  const auto other = std::find(targets.begin(), targets.end(), "/b");
  CHECK(other - targets.begin() < 1000);
}

// Guards against memory that a caller fills by not reading its answers.
TEST_CASE("answers that are not read hold back the next request",
          "[connection]") {
  constexpr std::size_t kAnswerBytes = 64UL * 1024;
  constexpr std::size_t kMaxHeldAnswers = 32UL * 1024 * 1024 / kAnswerBytes;
  constexpr std::size_t kCount = 3000;
  port_process port;
  port.service.answer = [](const scripted_service::connection& from,
                           const caller_message&) {
    from->Respond(std::string(kAnswerBytes, 'x'), false);
  };
  port.Run();
  caller slow(port, 16 * 1024);
  std::thread sending(
      [&] { slow.Send(Repeated("GET /a HTTP/1.1\r\n\r\n", kCount)); });
  std::this_thread::sleep_for(milliseconds(500));
  CHECK(port.service.requests < kMaxHeldAnswers);
  // All of them are answered to a caller that reads.
  const std::string received = slow.Receive(kCount * kAnswerBytes);
  sending.join();
  CHECK(received.size() == kCount * kAnswerBytes);
}

// Guards against a close with unread bytes, which resets the connection and
// destroys the answer on its way.
TEST_CASE("a caller that has sent more than was read gets its answer",
          "[connection]") {
  port_process port;
  port.Run();
  const std::string more(2UL * 1024 * 1024, 'x');
  const auto [sent, answer] = GENERATE_COPY(table<std::string, std::string>({
      {"POST /a HTTP/1.1\r\nContent-Length: 9999999\r\n\r\n" + more, "[large]"},
      {"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nfffffff\r\n" +
           more,
       "[large]"},
      {"GET /a HTTP/1.1\r\nX: " + more, "[large]"},
      {"no request\r\n\r\n" + more, "[bad]"},
      {kLastRequest + "POST /b HTTP/1.1\r\nContent-Length: 2097152\r\n\r\n" +
           more,
       "[/last]"},
  }));
  INFO(sent.substr(0, 60));
  caller sender(port);
  CHECK(sender.Send(sent));
  CHECK(sender.ReceiveAll() == answer);
  CHECK(sender.end == boost::asio::error::eof);
}

TEST_CASE("a caller that does not close its connection is closed",
          "[connection]") {
  port_process port;
  caller silent(port);
  caller endless(port);
  std::atomic<bool> done{false};
  std::thread sending([&] {
    const std::string more(64UL * 1024, 'x');
    while (!done && endless.Send(more)) {
    }
  });
  silent.Send(kLastRequest);
  REQUIRE(RunUntil(port.loop, [&] { return port.service.requests == 1; }));
  const monotonic_time start = loop_context::Now();
  CHECK(RunUntil(port.loop, [&] { return port.port.ConnectionCount() == 0; }));
  // The end of the process waits for these connections.
  CHECK(loop_context::Now() - start < milliseconds(2000));
  done = true;
  sending.join();
}

// Guards against a deadlock: the caller reads only after it has sent all.
TEST_CASE("a long last answer reaches a caller that still sends",
          "[connection]") {
  constexpr std::size_t kAnswerBytes = 16UL * 1024 * 1024;
  port_process port;
  port.service.answer = [](const scripted_service::connection& from,
                           const caller_message&) {
    from->Respond(std::string(kAnswerBytes, 'x'), true);
  };
  port.Run();
  caller sender(port, 16 * 1024);
  CHECK(sender.Send(kLastRequest + std::string(8UL * 1024 * 1024, 'x')));
  CHECK(sender.ReceiveAll().size() == kAnswerBytes);
  CHECK(sender.end == boost::asio::error::eof);
}

// Guards against the close of a connection on which a request has arrived that
// was not read yet.
TEST_CASE("a request that has arrived is read before idle ones are closed",
          "[connection]") {
  port_process port;
  caller sender(port);
  caller idle(port);
  REQUIRE(
      RunUntil(port.loop, [&] { return port.port.ConnectionCount() == 2; }));
  sender.Send("GET /a HTTP/1.1\r\n\r\n");
  port.port.CloseIdleConnections();
  port.Run();
  CHECK(sender.Receive(4) == "[/a]");
  CHECK(idle.ReceiveAll().empty());
}

TEST_CASE("a request that arrived while the loop was held up is answered",
          "[connection]") {
  port_process port;
  port.service.limits.idle_timeout = milliseconds(50);
  port.service.limits.header_timeout = milliseconds(50);
  caller whole(port);
  caller completed(port);
  completed.Send("GET /b HTT");
  REQUIRE(
      RunUntil(port.loop, [&] { return port.port.ConnectionCount() == 2; }));
  whole.Send("GET /a HTTP/1.1\r\n\r\n");
  completed.Send("P/1.1\r\n\r\n");
  std::this_thread::sleep_for(milliseconds(100));
  port.Run();
  CHECK(whole.Receive(4) == "[/a]");
  CHECK(completed.Receive(4) == "[/b]");
}

// Guards against the end of an answer on its way to a slow reader.
TEST_CASE("an answer is written to a caller that reads slowly",
          "[connection]") {
  constexpr std::size_t kAnswerBytes = 16UL * 1024 * 1024;
  constexpr std::size_t kPartBytes = kAnswerBytes / 8;
  port_process port;
  port.service.limits.idle_timeout = milliseconds(100);
  const bool close = GENERATE(false, true);
  port.service.answer = [close](const scripted_service::connection& from,
                                const caller_message&) {
    from->Respond(std::string(kAnswerBytes, 'x'), close);
  };
  port.Run();
  caller slow(port, 16 * 1024);
  slow.Send("GET /a HTTP/1.1\r\n\r\n");
  std::size_t received = 0;
  for (int part = 0; part < 8; ++part) {
    std::this_thread::sleep_for(milliseconds(60));
    received += slow.Receive(kPartBytes).size();
  }
  CHECK(received == kAnswerBytes);
}

// Guards against closing on a caller that takes less than the kernel waits for
// before it reports room for more.
TEST_CASE("an answer is written to a caller that reads a little at a time",
          "[connection]") {
  constexpr std::size_t kAnswerBytes = 16UL * 1024 * 1024;
  constexpr std::size_t kPartBytes = 64UL * 1024;
  port_process port;
  port.service.limits.idle_timeout = milliseconds(150);
  port.service.answer = [](const scripted_service::connection& from,
                           const caller_message&) {
    from->Respond(std::string(kAnswerBytes, 'x'), false);
  };
  port.Run();
  caller slow(port, 16 * 1024);
  slow.Send("GET /a HTTP/1.1\r\n\r\n");
  std::size_t received = 0;
  for (int part = 0; part < 20; ++part) {
    std::this_thread::sleep_for(milliseconds(20));
    received += slow.Receive(kPartBytes).size();
  }
  received += slow.Receive(kAnswerBytes - received).size();
  CHECK(received == kAnswerBytes);
}

TEST_CASE("an answer reaches a caller that stops reading for a while",
          "[connection]") {
  constexpr std::size_t kAnswerBytes = 16UL * 1024 * 1024;
  port_process port;
  port.service.answer = [](const scripted_service::connection& from,
                           const caller_message&) {
    from->Respond(std::string(kAnswerBytes, 'x'), false);
  };
  port.Run();
  caller slow(port, 16 * 1024);
  slow.Send("GET /a HTTP/1.1\r\n\r\n");
  const std::size_t first = slow.Receive(1024).size();
  std::this_thread::sleep_for(milliseconds(5000));
  CHECK(first + slow.Receive(kAnswerBytes - first).size() == kAnswerBytes);
}

TEST_CASE("a caller that reads nothing is closed", "[connection]") {
  port_process port;
  port.service.limits.idle_timeout = milliseconds(100);
  port.service.answer = [](const scripted_service::connection& from,
                           const caller_message&) {
    from->Respond(std::string(32UL * 1024 * 1024, 'x'), false);
  };
  caller stuck(port, 16 * 1024);
  stuck.Send("GET /a HTTP/1.1\r\n\r\n");
  REQUIRE(RunUntil(port.loop, [&] { return port.service.requests == 1; }));
  const monotonic_time start = loop_context::Now();
  CHECK(RunUntil(port.loop, [&] { return port.port.ConnectionCount() == 0; }));
  CHECK(loop_context::Now() - start < milliseconds(1000));
}

// Guards against proper requests that are refused, as the limits have been
// raised since their connection was opened or used last.
TEST_CASE("a request is held to the limits in force when it begins",
          "[connection]") {
  constexpr std::size_t kLowBytes = 600;
  constexpr std::size_t kHighBytes = 1000;
  port_process port;
  port.service.limits.body_bytes = kLowBytes;
  port.service.limits.header_bytes = kLowBytes;
  caller sender(port);
  const auto answered = [&port](std::size_t requests) {
    REQUIRE(RunUntil(port.loop, [&] {
      return port.service.requests + port.service.refusals == requests;
    }));
    return port.service.refusals == 0;
  };
  const bool used = GENERATE(false, true);
  CAPTURE(used);
  if (used) {
    sender.Send("GET /first HTTP/1.1\r\n\r\n");
    REQUIRE(answered(1));
  } else {
    REQUIRE(
        RunUntil(port.loop, [&] { return port.port.ConnectionCount() == 1; }));
  }
  SECTION("raised") {
    port.service.limits.body_bytes = kHighBytes;
    port.service.limits.header_bytes = kHighBytes;
    const std::string large(kHighBytes - 200, 'x');
    const std::string request = GENERATE_COPY(
        PostWith(large), "GET /a HTTP/1.1\r\nX-Long: " + large + "\r\n\r\n");
    sender.Send(request);
    CHECK(answered(used ? 2 : 1));
  }
  const std::string small = PostWith(std::string(kLowBytes - 100, 'x'));
  SECTION("lowered") {
    port.service.limits.body_bytes = 0;
    sender.Send(small);
    CHECK_FALSE(answered(used ? 2 : 1));
  }
  SECTION("lowered while it is on its way") {
    sender.Send(small.substr(0, small.size() - 1));
    const monotonic_time sent = loop_context::Now();
    RunUntil(port.loop,
             [&] { return loop_context::Now() - sent > milliseconds(50); });
    port.service.limits.body_bytes = 0;
    sender.Send(small.substr(small.size() - 1));
    CHECK(answered(used ? 2 : 1));
  }
}

}  // namespace papayaglade
