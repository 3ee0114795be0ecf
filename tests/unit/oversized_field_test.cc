#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <memory>
#include <optional>
#include <string>
#include <thread>

#include "store_standin.h"
#include "transport/caller_port.h"
#include "transport/http_exchange_channel.h"

namespace papayaglade {

namespace {

using std::chrono::milliseconds;
using tcp = boost::asio::ip::tcp;

/// Answers every request with "[ok]" and closes the connection.
class closing_service : public caller_port::service {
 public:
  caller_limits Limits() const override { return limits; }
  void OnRequest(const std::shared_ptr<caller_connection>& from,
                 caller_message /*message*/) override {
    from->Respond("[ok]", true);
  }
  void OnMalformed(const std::shared_ptr<caller_connection>& from,
                   bool too_large) override {
    from->Respond(too_large ? "[large]" : "[bad]", true);
  }

  caller_limits limits;
};

/// Sends `bytes` in parts with a pause after each and returns the answer.
std::string Call(closing_service& service, const std::string& bytes,
                 std::size_t part_bytes, milliseconds pause) {
  loop_context loop;
  caller_port port(loop, service, 16);
  const endpoint address = FindFreeEndpoint();
  REQUIRE(port.Listen(address).empty());
  std::string received;
  bool done = false;
  std::thread calling([&] {
    boost::asio::io_context io;
    tcp::socket socket(io);
    socket.connect({boost::asio::ip::address_v4::loopback(), address.port});
    boost::system::error_code failed;
    for (std::size_t sent = 0; sent < bytes.size() && !failed;
         sent += part_bytes) {
      boost::asio::write(
          socket, boost::asio::buffer(bytes.substr(sent, part_bytes)), failed);
      std::this_thread::sleep_for(pause);
    }
    boost::asio::read(socket, boost::asio::dynamic_buffer(received), failed);
    boost::asio::post(loop.Io(), [&done] { done = true; });
  });
  CHECK(RunUntil(loop, [&] { return done; }));
  calling.join();
  return received;
}

std::string Fields(std::size_t bytes) {
  std::string fields;
  while (fields.size() < bytes) fields += "X: " + std::string(90, 'x') + "\r\n";
  return fields;
}

const std::string kChunkedHead =
    "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n";
constexpr std::size_t kAtOnce = 1UL << 30;

}  // namespace

// Guards against the end of the process by an exception of the parser.
TEST_CASE("a field of any size in a request is answered", "[limits]") {
  closing_service service;
  service.limits.header_bytes = 1024 * 1024;
  const std::string large(70000, 'x');
  const milliseconds none{0};
  CHECK(Call(service, "GET /a HTTP/1.1\r\nX: " + large + "\r\n\r\n", kAtOnce,
             none) == "[large]");
  CHECK(Call(service, "GET /a HTTP/1.1\r\n" + large + ": x\r\n\r\n", kAtOnce,
             none) == "[large]");
  CHECK(Call(service, kChunkedHead + "0\r\nX: " + large + "\r\n\r\n", kAtOnce,
             none) == "[large]");
  CHECK(Call(service, "GET /" + large + " HTTP/1.1\r\n\r\n", kAtOnce, none) ==
        "[ok]");
}

// Guards against memory that a caller fills with a head in small parts.
TEST_CASE("the size of a head is limited however it arrives", "[limits]") {
  closing_service service;
  service.limits.header_bytes = 4096;
  const std::string head = "GET /a HTTP/1.1\r\n" + Fields(16 * 1024);
  CHECK(Call(service, head + "\r\n", 512, milliseconds(2)) == "[large]");
  const std::string trailer = kChunkedHead + "0\r\n" + Fields(16 * 1024);
  CHECK(Call(service, trailer + "\r\n", 512, milliseconds(2)) == "[large]");
  CHECK(Call(service, kChunkedHead + "1;" + std::string(16 * 1024, 'x'), 512,
             milliseconds(2)) == "[large]");
}

TEST_CASE("a trailer of any size in an answer breaks the exchange",
          "[limits]") {
  boost::asio::io_context io;
  tcp::acceptor acceptor(io, tcp::endpoint(tcp::v4(), 0));
  std::thread answering([&] {
    tcp::socket socket(io);
    acceptor.accept(socket);
    boost::system::error_code failed;
    boost::asio::write(
        socket,
        boost::asio::buffer("HTTP/1.1 200 OK\r\nTransfer-Encoding: "
                            "chunked\r\n\r\n1\r\na\r\n0\r\nX: " +
                            std::string(70000, 'x') + "\r\n\r\n"),
        failed);
    std::string rest;
    boost::asio::read(socket, boost::asio::dynamic_buffer(rest), failed);
  });
  loop_context loop;
  const auto channel = std::make_shared<http_exchange_channel>(
      loop, endpoint{"127.0.0.1", acceptor.local_endpoint().port()},
      milliseconds(2000));
  std::optional<channel_failure> failure;
  channel->Exchange("GET / HTTP/1.1\r\n\r\n", false,
                    [&](const http_exchange_channel::result& ended) {
                      failure = ended.failure;
                    });
  CHECK(RunUntil(loop, [&] { return failure.has_value(); }));
  CHECK(failure == channel_failure::kBroken);
  channel->Close();
  answering.join();
}

}  // namespace papayaglade
