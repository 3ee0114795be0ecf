#include "transport/http_server.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <catch2/catch.hpp>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "transport/http_call.h"

namespace papayaglade {

namespace {

// Uses a plain socket, because the tests send malformed HTTP.
class raw_caller {
 public:
  explicit raw_caller(std::uint16_t port)
      : socket_(::socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const int failed = ::connect(socket_, reinterpret_cast<sockaddr*>(&address),
                                 sizeof address);
    REQUIRE(failed == 0);
  }
  ~raw_caller() { ::close(socket_); }
  raw_caller(const raw_caller&) = delete;
  raw_caller& operator=(const raw_caller&) = delete;

  void Send(const std::string& bytes) const {
    ::send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
  }

  // Returns all bytes received until the connection ends.
  std::string ReadAll() const {
    std::string all;
    char buffer[4096];
    ssize_t n = 0;
    while ((n = ::recv(socket_, buffer, sizeof buffer, 0)) > 0) {
      all.append(buffer, static_cast<std::size_t>(n));
    }
    return all;
  }

 private:
  int socket_;
};

constexpr char kRequest[] =
    "POST /query HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n{}";

class test_server {
 public:
  explicit test_server(const port_limits& limits,
                       const http_server::handler& handler)
      : server_("test", limits, handler) {
    // Takes the first free port from 28100 on.
    while (!server_.Listen({"127.0.0.1", port_}).empty()) ++port_;
    server_.Start();
  }
  std::uint16_t Port() const { return port_; }
  http_server& Server() { return server_; }

 private:
  std::uint16_t port_ = 28100;
  http_server server_;
};

void Echo(const http_request& request, const http_server::responder& respond) {
  respond({200, "text/plain", request.body});
}

bool Serves(std::uint16_t port) {
  const auto outcome = CallHttp({"127.0.0.1", port}, {"POST", "/", "", "{}"},
                                std::chrono::seconds(5));
  return outcome.status == 200;
}

}  // namespace

TEST_CASE("hostile callers are refused and do not affect other callers") {
  port_limits limits;
  limits.body_bytes = 100;
  limits.header_bytes = 500;
  limits.header_timeout = std::chrono::milliseconds(200);
  test_server server(limits, Echo);
  const raw_caller large(server.Port());
  large.Send("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 101\r\n\r\n");
  CHECK(large.ReadAll().find("too_large") != std::string::npos);
  const raw_caller headers(server.Port());
  headers.Send("POST / HTTP/1.1\r\nX: " + std::string(600, 'x') + "\r\n");
  CHECK(headers.ReadAll().find("too_large") != std::string::npos);
  const raw_caller garbage(server.Port());
  garbage.Send("\x01\x02 not HTTP at all\r\n\r\n");
  CHECK(garbage.ReadAll().find("malformed HTTP") != std::string::npos);
  const raw_caller half(server.Port());
  half.Send("POST / HTTP/1.1\r\nHos");
  CHECK(half.ReadAll().empty());
  CHECK(Serves(server.Port()));
}

// Guards against the end of the process by a recursion for each request.
TEST_CASE("a caller may pipeline any number of requests", "[http]") {
  constexpr std::size_t kCount = 20000;
  test_server server(port_limits(), Echo);
  const raw_caller many(server.Port());
  std::thread sending([&] {
    std::string requests;
    for (std::size_t i = 0; i < kCount; ++i) requests += kRequest;
    many.Send(requests +
              "POST / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
  });
  const std::string received = many.ReadAll();
  sending.join();
  std::size_t answers = 0;
  for (std::size_t at = received.find("200 OK"); at != std::string::npos;
       at = received.find("200 OK", at + 1)) {
    ++answers;
  }
  CHECK(answers == kCount + 1);
}

TEST_CASE("connections over the limit are closed, others are served") {
  port_limits limits;
  limits.connections = 2;
  test_server server(limits, Echo);
  const raw_caller first(server.Port());
  const raw_caller second(server.Port());
  const raw_caller third(server.Port());
  CHECK(third.ReadAll().empty());
  first.Send(
      "POST / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
      "Content-Length: 2\r\n\r\n{}");
  CHECK(first.ReadAll().find("200 OK") != std::string::npos);
}

TEST_CASE("a drain closes idle connections and finishes running requests") {
  std::promise<http_server::responder> held;
  test_server server(
      port_limits(),
      [&held](const http_request&, const http_server::responder& respond) {
        held.set_value(respond);
      });
  const raw_caller running(server.Port());
  running.Send(kRequest);
  const http_server::responder respond = held.get_future().get();
  const raw_caller idle(server.Port());
  std::promise<void> drained;
  server.Server().Drain(std::chrono::milliseconds(50),
                        [&drained] { drained.set_value(); });
  auto done = drained.get_future();
  CHECK(idle.ReadAll().empty());
  CHECK(done.wait_for(std::chrono::seconds(0)) == std::future_status::timeout);
  respond({200, "text/plain", "whole answer"});
  CHECK(running.ReadAll().find("whole answer") != std::string::npos);
  done.get();
  CHECK_FALSE(Serves(server.Port()));
}

TEST_CASE("a bound server refuses connections until it listens", "[http]") {
  http_server server("test", port_limits(), Echo);
  std::uint16_t port = 28200;
  while (!server.Bind({"127.0.0.1", port}).empty()) ++port;
  server.Start();
  CHECK_FALSE(Serves(port));
  server.StartListening();
  server.StartListening();
  bool serves = false;
  for (int i = 0; i < 100 && !serves; ++i) {
    serves = Serves(port);
    if (!serves) std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  CHECK(serves);
}

// Guards against an end of the process that leaves an answer unwritten without
// a trace.
TEST_CASE("an answer that its caller does not read is known at the end",
          "[http][stop]") {
  constexpr std::size_t kBytes = 64 * 1024 * 1024;
  std::promise<void> first;
  std::promise<void> later;
  test_server server(port_limits(), [&](const http_request& request,
                                        const http_server::responder& respond) {
    if (request.body.empty()) return later.set_value();
    http_response response;
    response.body.assign(kBytes, 'x');
    response.request_id = "r-1";
    respond(std::move(response));
    first.set_value();
  });
  const raw_caller silent(server.Port());
  const raw_caller other(server.Port());
  silent.Send(kRequest);
  first.get_future().wait();
  // This is read once the answer to the first request is being written.
  other.Send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
  later.get_future().wait();
  server.Server().Stop();
  const auto unwritten = server.Server().Unwritten();
  REQUIRE(unwritten.size() == 1);
  CHECK(unwritten[0].request_id == "r-1");
}

// Guards against a stop that closes a connection as idle whose request is being
// read: the request ran, and its answer could not be written.
TEST_CASE("a request that is handled as idle connections close is answered",
          "[http][stop]") {
  constexpr std::size_t kCallers = 100;
  for (int round = 0; round < 20; ++round) {
    std::atomic<std::size_t> handled{0};
    test_server server(port_limits(),
                       [&](const http_request& request,
                           const http_server::responder& respond) {
                         ++handled;
                         Echo(request, respond);
                       });
    std::vector<std::unique_ptr<raw_caller>> callers;
    for (std::size_t i = 0; i < kCallers; ++i)
      callers.push_back(std::make_unique<raw_caller>(server.Port()));
    std::promise<void> drained;
    std::thread sending([&] {
      for (const auto& each : callers) each->Send(kRequest);
    });
    server.Server().Drain(std::chrono::milliseconds(0),
                          [&drained] { drained.set_value(); });
    sending.join();
    std::size_t answered = 0;
    for (const auto& each : callers) {
      if (each->ReadAll().find("200 OK") != std::string::npos) ++answered;
    }
    drained.get_future().wait();
    CHECK(answered == handled);
  }
}

// Guards against an answer that the close of its connection destroys, because
// the caller has sent more than was read.
TEST_CASE("an answer arrives whole although its caller has sent more",
          "[http][stop]") {
  constexpr std::size_t kBytes = 200000;
  test_server server(port_limits(), [](const http_request&,
                                       const http_server::responder& respond) {
    // The caller's other requests arrive meanwhile.
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
    respond({200, "text/plain", std::string(kBytes, 'x')});
  });
  std::string requests =
      "POST / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
  for (int i = 0; i < 500; ++i) requests += kRequest;
  for (int round = 0; round < 20; ++round) {
    const raw_caller many(server.Port());
    many.Send(requests);
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
    CHECK(many.ReadAll().size() > kBytes);
  }
}

}  // namespace papayaglade
