#include <fcntl.h>
#include <sys/resource.h>
#include <unistd.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <ctime>
#include <memory>
#include <string>
#include <vector>

#include "store_standin.h"
#include "transport/caller_port.h"

namespace papayaglade {

namespace {

using std::chrono::milliseconds;
using tcp = boost::asio::ip::tcp;

const std::string kRequest = "GET /a HTTP/1.1\r\n\r\n";
const std::string kAnswer = "[answer]";

/// Answers every request at once, except those for /wait.
class answering_service : public caller_port::service {
 public:
  caller_limits Limits() const override { return {}; }
  void OnRequest(const std::shared_ptr<caller_connection>& from,
                 caller_message message) override {
    ++requests;
    if (message.target() == "/wait") {
      waiting = from;
    } else {
      from->Respond(kAnswer, false);
    }
  }
  void OnMalformed(const std::shared_ptr<caller_connection>& from,
                   bool /*too_large*/) override {
    from->Respond("[bad]", true);
  }

  std::size_t requests = 0;
  std::shared_ptr<caller_connection> waiting;
};

/// A port and its callers, all on one thread.
class limited_port {
 public:
  explicit limited_port(std::size_t max_connections)
      : port(loop, service, max_connections), address_(FindFreeEndpoint()) {
    REQUIRE(port.Listen(address_).empty());
  }

  tcp::socket Connect(const std::string& request) {
    tcp::socket socket(io_);
    socket.connect({boost::asio::ip::address_v4::loopback(), address_.port});
    boost::asio::write(socket, boost::asio::buffer(request));
    return socket;
  }
  bool RunUntilRequests(std::size_t count) {
    return RunUntil(loop, [&] { return service.requests == count; });
  }
  void RunFor(milliseconds time) {
    const monotonic_time end = loop_context::Now() + time;
    RunUntil(loop, [&] { return loop_context::Now() >= end; });
  }

  loop_context loop;
  answering_service service;
  caller_port port;

 private:
  boost::asio::io_context io_;
  endpoint address_;
};

std::string Receive(tcp::socket& socket, std::size_t count) {
  std::string received;
  boost::system::error_code failed;
  boost::asio::read(socket, boost::asio::dynamic_buffer(received),
                    boost::asio::transfer_exactly(count), failed);
  return received;
}

/// Leaves the process no free descriptor while it exists.
class descriptor_shortage {
 public:
  descriptor_shortage() {
    getrlimit(RLIMIT_NOFILE, &before_);
    const int next = dup(STDIN_FILENO);
    close(next);
    rlimit low = before_;
    low.rlim_cur = static_cast<rlim_t>(next);
    setrlimit(RLIMIT_NOFILE, &low);
    // Takes those that are free below the limit.
    for (int each = dup(STDIN_FILENO); each >= 0; each = dup(STDIN_FILENO)) {
      taken_.push_back(each);
    }
  }
  ~descriptor_shortage() {
    for (const int each : taken_) close(each);
    setrlimit(RLIMIT_NOFILE, &before_);
  }
  descriptor_shortage(const descriptor_shortage&) = delete;
  descriptor_shortage& operator=(const descriptor_shortage&) = delete;

 private:
  rlimit before_{};
  std::vector<int> taken_;
};

double ProcessorSeconds() {
  return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

}  // namespace

// Guards against the close of a connection whose request was not read, only
// because all connections are in use.
TEST_CASE("callers beyond the limit wait for a connection to end", "[port]") {
  limited_port port(1);
  tcp::socket busy = port.Connect("GET /wait HTTP/1.1\r\n\r\n");
  REQUIRE(port.RunUntilRequests(1));
  tcp::socket next = port.Connect(kRequest);
  const double before = ProcessorSeconds();
  port.RunFor(milliseconds(400));
  CHECK(ProcessorSeconds() - before < 0.2);
  CHECK(port.service.requests == 1);
  port.service.waiting->Respond(kAnswer, true);
  CHECK(Receive(busy, kAnswer.size()) == kAnswer);
  busy.close();
  CHECK(port.RunUntilRequests(2));
  CHECK(Receive(next, kAnswer.size()) == kAnswer);
}

TEST_CASE("an idle connection makes room for the next caller", "[port]") {
  limited_port port(2);
  tcp::socket busy = port.Connect("GET /wait HTTP/1.1\r\n\r\n");
  REQUIRE(port.RunUntilRequests(1));
  tcp::socket idle = port.Connect(kRequest);
  REQUIRE(port.RunUntilRequests(2));
  tcp::socket next = port.Connect(kRequest);
  CHECK(port.RunUntilRequests(3));
  CHECK(Receive(next, kAnswer.size()) == kAnswer);
  CHECK(Receive(idle, kAnswer.size() + 1) == kAnswer);
  port.service.waiting->Respond(kAnswer, false);
  CHECK(Receive(busy, kAnswer.size()) == kAnswer);
}

// Guards against a busy loop of a port that cannot accept.
TEST_CASE("callers wait while the process has no free descriptor", "[port]") {
  limited_port port(16);
  tcp::socket busy = port.Connect("GET /wait HTTP/1.1\r\n\r\n");
  REQUIRE(port.RunUntilRequests(1));
  tcp::socket next = port.Connect(kRequest);
  {
    const descriptor_shortage shortage;
    const double before = ProcessorSeconds();
    port.RunFor(milliseconds(400));
    CHECK(ProcessorSeconds() - before < 0.2);
    CHECK(port.service.requests == 1);
    // Requests in progress are answered meanwhile.
    port.service.waiting->Respond(kAnswer, false);
    CHECK(Receive(busy, kAnswer.size()) == kAnswer);
  }
  CHECK(port.RunUntilRequests(2));
  CHECK(Receive(next, kAnswer.size()) == kAnswer);
}

}  // namespace papayaglade
