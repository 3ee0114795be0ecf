#include "transport/caller_port.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace papayaglade {

namespace {

using std::chrono::milliseconds;
using tcp = boost::asio::ip::tcp;

constexpr std::size_t kBodyLimit = 64;

/// Answers every request with its method, target and body. Leaves requests for
/// /wait unanswered.
class echo_service : public caller_port::service {
 public:
  caller_limits Limits() const override {
    caller_limits limits;
    limits.body_bytes = kBodyLimit;
    limits.header_bytes = 1024;
    limits.header_timeout = milliseconds(200);
    limits.idle_timeout = milliseconds(400);
    return limits;
  }
  void OnRequest(const std::shared_ptr<caller_connection>& from,
                 caller_message message) override {
    if (message.target() == "/wait") {
      from->SetOnDisconnect([this] { caller_left = true; });
      waiting = from;
      return;
    }
    from->Respond("[" + std::string(message.method_string()) + " " +
                      std::string(message.target()) + " " + message.body() +
                      "]",
                  !message.keep_alive());
  }
  void OnMalformed(const std::shared_ptr<caller_connection>& from,
                   bool too_large) override {
    from->Respond(too_large ? "[large]" : "[bad]", true);
  }
  void OnNoMemory(const std::shared_ptr<caller_connection>& from,
                  const caller_message& message) override {
    from->Respond("[no memory " + std::string(message.target()) + "]", true);
  }

  std::shared_ptr<caller_connection> waiting;
  bool caller_left = false;
};

/// A port that runs on its own thread, with a blocking client.
class running_port {
 public:
  explicit running_port(const memory_shares& memory = {})
      : port_(loop_, service, 16, memory) {
    // The kernel selects a free port.
    boost::asio::io_context io;
    tcp::acceptor probe(io, tcp::endpoint(tcp::v4(), 0));
    address_ = probe.local_endpoint();
    probe.close();
    REQUIRE(port_.Listen({"127.0.0.1", address_.port()}).empty());
    thread_ = std::thread([this] { loop_.Run(); });
  }
  ~running_port() {
    loop_.Stop();
    thread_.join();
  }

  /// Sends `parts` one after the other, the second only after `awaited_bytes`
  /// bytes have arrived. Returns all bytes received until the port closes the
  /// connection.
  std::string SendAndReceive(const std::vector<std::string>& parts,
                             std::size_t awaited_bytes = 0) {
    boost::asio::io_context io;
    tcp::socket socket(io);
    socket.connect({boost::asio::ip::address_v4::loopback(), address_.port()});
    boost::system::error_code failed;
    std::string received;
    for (const std::string& each : parts) {
      boost::asio::write(socket, boost::asio::buffer(each), failed);
      if (received.size() >= awaited_bytes) continue;
      boost::asio::read(socket, boost::asio::dynamic_buffer(received),
                        boost::asio::transfer_exactly(awaited_bytes), failed);
    }
    boost::asio::read(socket, boost::asio::dynamic_buffer(received), failed);
    return received;
  }

  void SendAndDisconnect(const std::string& request) {
    boost::asio::io_context io;
    tcp::socket socket(io);
    socket.connect({boost::asio::ip::address_v4::loopback(), address_.port()});
    boost::asio::write(socket, boost::asio::buffer(request));
  }

  /// A connection on which a request has arrived, until its end.
  class connection {
   public:
    connection(const running_port& port, const std::string& request)
        : socket_(io_) {
      socket_.connect(
          {boost::asio::ip::address_v4::loopback(), port.address_.port()});
      boost::asio::write(socket_, boost::asio::buffer(request));
      std::this_thread::sleep_for(milliseconds(100));
    }
    ~connection() {
      socket_.close();
      std::this_thread::sleep_for(milliseconds(100));
    }
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

   private:
    boost::asio::io_context io_;
    tcp::socket socket_;
  };

  echo_service service;

 private:
  loop_context loop_;
  caller_port port_;
  tcp::endpoint address_;
  std::thread thread_;
};

const std::string kLastRequest =
    "GET /last HTTP/1.1\r\nConnection: close\r\n\r\n";

}  // namespace

TEST_CASE("requests on one connection are answered in order", "[port]") {
  running_port port;
  CHECK(port.SendAndReceive({"GET /a HTTP/1.1\r\n\r\nPOST /b HTTP/1.1\r\n"
                             "Content-Length: 3\r\n\r\nxyz" +
                             kLastRequest}) ==
        "[GET /a ][POST /b xyz][GET /last ]");
}

TEST_CASE("a request may arrive in pieces and in chunked encoding", "[port]") {
  running_port port;
  CHECK(port.SendAndReceive({"POST /a HT", "TP/1.1\r\nTransfer-Enc",
                             "oding: chunked\r\n\r\n2\r\nab\r",
                             "\n1\r\nc\r\n0\r\n\r\n", kLastRequest}) ==
        "[POST /a abc][GET /last ]");
}

// Guards against the end of the process by the memory of bodies that callers
// send at the same time.
TEST_CASE("a request is refused while there is no memory for its body",
          "[port]") {
  memory_shares memory;
  memory.requests = 40;
  running_port port(memory);
  const std::string body(30, 'b');
  const auto post = [&](const std::string& target) {
    return "POST " + target + " HTTP/1.1\r\nContent-Length: 30\r\n\r\n";
  };
  CHECK(port.SendAndReceive(
            {post("/a") + body + post("/b") + body + kLastRequest}) ==
        "[POST /a " + body + "][POST /b " + body + "][GET /last ]");
  {
    const running_port::connection holder(port, post("/wait") + body);
    CHECK(port.SendAndReceive({post("/c")}) == "[no memory /c]");
    CHECK(port.SendAndReceive({"POST /d HTTP/1.1\r\nTransfer-Encoding: chunked"
                               "\r\n\r\n5\r\nabcde\r\n"}) == "[no memory /d]");
    CHECK(port.SendAndReceive({kLastRequest}) == "[GET /last ]");
  }
  CHECK(port.SendAndReceive({post("/e") + body + kLastRequest}) ==
        "[POST /e " + body + "][GET /last ]");
  // Such a body has no room at any time.
  CHECK(port.SendAndReceive(
            {"POST / HTTP/1.1\r\nContent-Length: 50\r\n\r\n"}) == "[large]");
}

TEST_CASE("malformed and oversized requests are answered, then closed",
          "[port]") {
  running_port port;
  CHECK(port.SendAndReceive({"no request\r\n\r\n"}) == "[bad]");
  CHECK(port.SendAndReceive(
            {"POST / HTTP/1.1\r\nContent-Length: 65\r\n\r\n"}) == "[large]");
  CHECK(port.SendAndReceive({"GET / HTTP/1.1\r\nX: " + std::string(2000, 'x') +
                             "\r\n\r\n"}) == "[large]");
  // A request with both a length and chunked encoding can smuggle a second one.
  CHECK(port.SendAndReceive({"POST / HTTP/1.1\r\nContent-Length: 4\r\n"
                             "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"}) ==
        "[bad]");
}

// Guards against proper requests that are refused at the limits themselves.
TEST_CASE("requests of exactly the limits are taken", "[port]") {
  running_port port;
  const std::string body(kBodyLimit, 'b');
  const auto request = [](const std::string& fields, const std::string& rest) {
    return "POST /a HTTP/1.1\r\n" + fields + "\r\n" + rest;
  };
  const std::string chunked = "Transfer-Encoding: chunked\r\n";
  const auto filled = [&](std::size_t head_bytes) {
    const std::size_t rest = request("X: \r\n", "").size();
    return request("X: " + std::string(head_bytes - rest, 'x') + "\r\n", "");
  };
  const auto [text, answer] = GENERATE_COPY(table<std::string, std::string>({
      {request("Content-Length: 64\r\n", body), "[POST /a " + body + "]"},
      {request(chunked, "40\r\n" + body + "\r\n0\r\n\r\n"),
       "[POST /a " + body + "]"},
      {request(chunked, "20;x=y\r\n" + body.substr(32) + "\r\n20\r\n" +
                            body.substr(32) + "\r\n0\r\nT: 1\r\n\r\n"),
       "[POST /a " + body + "]"},
      {request("Expect: 100-Continue\r\nContent-Length: 0\r\n", ""),
       "[POST /a ]"},
      {filled(1024), "[POST /a ]"},
  }));
  CAPTURE(text);
  CHECK(port.SendAndReceive({text + kLastRequest}) == answer + "[GET /last ]");
  const std::size_t middle = text.size() / 2;
  CHECK(port.SendAndReceive({text.substr(0, middle), text.substr(middle),
                             kLastRequest}) == answer + "[GET /last ]");
}

TEST_CASE("a caller that expects 100-continue receives it", "[port]") {
  running_port port;
  const std::string continue_reply = "HTTP/1.1 100 Continue\r\n\r\n";
  CHECK(port.SendAndReceive({"POST /a HTTP/1.1\r\nExpect: 100-continue\r\n"
                             "Content-Length: 2\r\n\r\n",
                             "ok" + kLastRequest},
                            continue_reply.size()) ==
        continue_reply + "[POST /a ok][GET /last ]");
}

TEST_CASE("connections of slow and idle callers are closed", "[port]") {
  running_port port;
  CHECK(port.SendAndReceive({}).empty());
  CHECK(port.SendAndReceive({"GET /a HTTP/1.1\r\nX:"}).empty());
}

TEST_CASE("a disconnect is detected while the request runs", "[port]") {
  auto port = std::make_unique<running_port>();
  port->SendAndDisconnect("GET /wait HTTP/1.1\r\n\r\n");
  // Returns after the idle timeout of a second connection, which leaves time to
  // detect the closed one.
  CHECK(port->SendAndReceive({}).empty());
  CHECK(port->service.caller_left);
}

}  // namespace papayaglade
