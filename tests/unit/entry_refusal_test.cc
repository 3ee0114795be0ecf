#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <cstdio>
#include <memory>
#include <string>
#include <thread>

#include "app/entry_service.h"
#include "app/operators_service.h"
#include "platform/platform_wire_format.h"
#include "store_standin.h"

namespace papayaglade {

namespace {

using tcp = boost::asio::ip::tcp;

/// An entry service with an empty configuration behind a port.
struct empty_entry {
  empty_entry() {
    service.SetConfiguration(std::make_shared<tier_configuration>());
    REQUIRE(port.Listen(address).empty());
  }

  /// Sends `bytes` and returns all that is received until the end.
  std::string Call(const std::string& bytes) {
    std::string received;
    std::thread calling([&] {
      boost::asio::io_context io;
      tcp::socket socket(io);
      socket.connect({boost::asio::ip::address_v4::loopback(), address.port});
      boost::system::error_code failed;
      boost::asio::write(socket, boost::asio::buffer(bytes), failed);
      boost::asio::read(socket, boost::asio::dynamic_buffer(received), failed);
      loop.Stop();
    });
    loop.Run();
    calling.join();
    return received;
  }

  /// Returns what the service has logged.
  std::string Logged() {
    log.Flush();
    std::rewind(log_file.get());
    std::string text(4096, ' ');
    text.resize(std::fread(text.data(), 1, text.size(), log_file.get()));
    return text;
  }

  loop_context loop;
  std::unique_ptr<std::FILE, int (*)(std::FILE*)> log_file{std::tmpfile(),
                                                           std::fclose};
  structured_log log{loop, fileno(log_file.get())};
  metrics_registry metrics;
  platform::platform_wire_format wire;
  reachability_monitor reachability;
  upstream_directory directory{"a", {}, {}};
  attempt_policy policy{{}};
  upstream_client client{loop, wire, directory, policy, reachability};
  entry_service service{loop, wire, directory, policy, client, log, metrics};
  caller_port port{loop, service, 16};
  endpoint address = FindFreeEndpoint();
};

}  // namespace

// Guards against a body that the caller takes for the next answer.
TEST_CASE("a refused HEAD request gets no body", "[entry]") {
  empty_entry entry;
  const std::string rest =
      " /none/ HTTP/1.1\r\nHost: h\r\nPapayaglade-Attempt-Id: a\r\n";
  const std::string received = entry.Call("HEAD" + rest + "\r\nGET" + rest +
                                          "Connection: close\r\n\r\n");
  const std::size_t end_of_head = received.find("\r\n\r\n");
  REQUIRE(end_of_head != std::string::npos);
  CHECK(received.substr(end_of_head + 4, 12) == "HTTP/1.1 404");
}

// Guards against requests that were read whole behind an answer and dropped
// with it, because the instance stops.
TEST_CASE("pipelined requests are answered while the instance stops",
          "[entry]") {
  empty_entry entry;
  entry.service.BeginStop({loop_context::Now(), std::chrono::seconds(6)});
  const std::string request =
      "GET /none/ HTTP/1.1\r\nHost: h\r\nPapayaglade-Attempt-Id: a\r\n\r\n";
  const std::string received = entry.Call(request + request + request);
  std::size_t answers = 0;
  for (std::size_t at = received.find("HTTP/1.1 404"); at != std::string::npos;
       at = received.find("HTTP/1.1 404", at + 1)) {
    ++answers;
  }
  CHECK(answers == 3);
  CHECK(received.find("Connection: close") == received.rfind("Connection: "));
  CHECK(entry.Logged().find("event=bytes_dropped") == std::string::npos);
}

// Guards against bytes of requests that end without a trace.
TEST_CASE("bytes that are dropped behind the last answer are logged",
          "[entry]") {
  empty_entry entry;
  const std::string request = "GET /none/ HTTP/1.1\r\nHost: h\r\n";
  entry.Call(request +
             "Papayaglade-Attempt-Id: a1\r\nConnection: close\r\n\r\n" +
             request + "\r\n");
  REQUIRE(
      RunUntil(entry.loop, [&] { return entry.port.ConnectionCount() == 0; }));
  CHECK(entry.Logged().find("event=bytes_dropped request=a1 route= bytes=" +
                            std::to_string(request.size() + 2)) !=
        std::string::npos);
}

TEST_CASE("a HEAD request for an operators' page gets no body", "[entry]") {
  empty_entry entry;
  operators_service pages;
  pages.Add("/a", [] { return operators_service::page{200, "text"}; });
  entry.address = FindFreeEndpoint();
  caller_port port(entry.loop, pages, 16);
  REQUIRE(port.Listen(entry.address).empty());
  const std::string received = entry.Call(
      "HEAD /a HTTP/1.1\r\n\r\n"
      "GET /a HTTP/1.1\r\nConnection: close\r\n\r\n");
  const std::size_t end_of_head = received.find("\r\n\r\n");
  REQUIRE(end_of_head != std::string::npos);
  CHECK(received.substr(end_of_head + 4, 12) == "HTTP/1.1 200");
}

}  // namespace papayaglade
