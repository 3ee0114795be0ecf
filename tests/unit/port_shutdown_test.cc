#include "app/port_shutdown.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <string>

namespace papayaglade {

namespace {

using std::chrono::milliseconds;
using tcp = boost::asio::ip::tcp;

constexpr monotonic_time kStart{std::chrono::hours(1)};

/// Answers each request and closes its connection.
class closing_service : public caller_port::service {
 public:
  caller_limits Limits() const override { return {}; }
  void OnRequest(const std::shared_ptr<caller_connection>& from,
                 caller_message) override {
    from->Respond("answer", true);
  }
  void OnMalformed(const std::shared_ptr<caller_connection>& from,
                   bool) override {
    from->Respond("malformed", true);
  }
};

/// A port whose loop runs only when the test says so, in a stop of 6 s.
struct stopping_port {
  stopping_port() : port(loop, service, 16), shutdown(plan, port) {
    boost::asio::io_context io;
    tcp::acceptor probe(io, tcp::endpoint(tcp::v4(), 0));
    address = {boost::asio::ip::address_v4::loopback(),
               probe.local_endpoint().port()};
    probe.close();
    REQUIRE(port.Listen({"127.0.0.1", address.port()}).empty());
  }

  // Runs what is ready, several times, as a handler may make another ready.
  void RunLoop() {
    for (int i = 0; i < 20; ++i) loop.Io().poll();
  }

  boost::asio::io_context client_io;
  tcp::endpoint address;
  loop_context loop;
  closing_service service;
  caller_port port;
  shutdown_plan plan{kStart, milliseconds(6000)};
  port_shutdown shutdown;
};

/// A caller that sends a request at once.
class waiting_caller {
 public:
  explicit waiting_caller(stopping_port& to) : socket_(to.client_io) {
    socket_.connect(to.address);
    boost::asio::write(
        socket_,
        boost::asio::buffer(std::string("GET / HTTP/1.1\r\nHost: h\r\n\r\n")));
  }
  /// Returns what arrives until the connection is closed.
  std::string Receive() {
    std::string received;
    boost::system::error_code failed;
    boost::asio::read(socket_, boost::asio::dynamic_buffer(received), failed);
    return received;
  }
  void Close() { socket_.close(); }

 private:
  tcp::socket socket_;
};

}  // namespace

// Guards against a stop that accepts the connections which wait at the port and
// closes them as idle before it has read from them.
TEST_CASE("a request that waits when the port closes is answered", "[stop]") {
  stopping_port tier;
  waiting_caller caller(tier);
  CHECK_FALSE(tier.shutdown.Advance(kStart + milliseconds(4600)));
  tier.RunLoop();
  CHECK(caller.Receive() == "answer");
  CHECK_FALSE(tier.shutdown.Advance(kStart + milliseconds(4650)));
  caller.Close();
  tier.RunLoop();
  CHECK(tier.shutdown.Advance(kStart + milliseconds(4700)));
}

// Guards against a stop that accepts the connections which wait at the port and
// ends the process in the same step.
TEST_CASE("a request that waits when an unused port closes is answered",
          "[stop]") {
  stopping_port tier;
  waiting_caller caller(tier);
  CHECK_FALSE(tier.shutdown.Advance(kStart + milliseconds(3000)));
  tier.RunLoop();
  CHECK(caller.Receive() == "answer");
  CHECK_FALSE(tier.shutdown.Advance(kStart + milliseconds(3050)));
  caller.Close();
  tier.RunLoop();
  CHECK(tier.shutdown.Advance(kStart + milliseconds(3100)));
}

TEST_CASE("an unused port does not end the stop before the balancer's notice",
          "[stop]") {
  stopping_port tier;
  CHECK_FALSE(tier.shutdown.Advance(kStart + milliseconds(2950)));
  CHECK(tier.port.IsListening());
  CHECK(tier.shutdown.Advance(kStart + milliseconds(3000)));
  CHECK_FALSE(tier.port.IsListening());
}

TEST_CASE("connections that stay idle are closed late in a stop", "[stop]") {
  stopping_port tier;
  tcp::socket idle(tier.client_io);
  idle.connect(tier.address);
  tier.RunLoop();
  CHECK_FALSE(tier.shutdown.Advance(kStart + milliseconds(4450)));
  tier.RunLoop();
  CHECK(tier.port.ConnectionCount() == 1);
  for (int ms = 4500; ms <= 4600; ms += 50) {
    tier.shutdown.Advance(kStart + milliseconds(ms));
    tier.RunLoop();
  }
  CHECK(tier.port.ConnectionCount() == 0);
  CHECK(tier.shutdown.Advance(kStart + milliseconds(4650)));
}

}  // namespace papayaglade
