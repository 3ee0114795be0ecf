#include "transport/upstream_connection_manager.h"

#include <catch2/catch.hpp>

#include "transport/http_server.h"

namespace papayaglade {

namespace {

using std::chrono::milliseconds;

endpoint MakeTarget(std::uint16_t port) { return {"127.0.0.1", port}; }

template <typename Event>
Event NextEvent(steward_ring& ring) {
  steward_event event;
  REQUIRE(ring.PopUntil(event, monotonic_clock::now() + milliseconds(3000)));
  REQUIRE(std::holds_alternative<Event>(event));
  return std::get<Event>(event);
}

// An upstream that answers every request with the body of the request.
struct echo_upstream {
  echo_upstream()
      : server(std::make_unique<http_server>(
            "echo", port_limits(),
            [](const http_request& request,
               const http_server::responder& respond) {
              respond({200, "application/json", request.body});
            })) {
    while (!server->Listen(MakeTarget(port)).empty()) ++port;
    server->Start();
  }
  std::uint16_t port = 24050;
  std::unique_ptr<http_server> server;
};

}  // namespace

TEST_CASE("replies and a close of an idle connection are reported", "[links]") {
  echo_upstream upstream;
  steward_ring ring(64);
  upstream_connection_manager manager(ring);
  manager.Start();
  manager.Send(
      open_connection{1, MakeTarget(upstream.port), milliseconds(500)});
  CHECK(NextEvent<connection_opened>(ring).connection_id == 1);
  manager.Send(send_exchange{1, 7, "POST", "/search", "{}"});
  const auto reply = NextEvent<exchange_reply>(ring);
  CHECK(reply.exchange_id == 7);
  CHECK(reply.body == "{}");
  upstream.server.reset();
  const auto failed = NextEvent<connection_failed>(ring);
  CHECK(failed.exchange_id == 0);
}

TEST_CASE("an exchange past its latest send time is not written", "[links]") {
  echo_upstream upstream;
  steward_ring ring(64);
  upstream_connection_manager manager(ring);
  manager.Start();
  manager.Send(
      open_connection{1, MakeTarget(upstream.port), milliseconds(500)});
  NextEvent<connection_opened>(ring);
  manager.Send(send_exchange{1, 7, "POST", "/search", "{}",
                             monotonic_clock::now() - milliseconds(1)});
  const auto failed = NextEvent<connection_failed>(ring);
  CHECK(failed.exchange_id == 7);
  CHECK(failed.nothing_sent);
  CHECK(failed.failure == connection_failure::kTimedOut);
}

TEST_CASE("an address without a listener refuses connections", "[links]") {
  steward_ring ring(64);
  upstream_connection_manager manager(ring);
  manager.Start();
  manager.Send(open_connection{1, MakeTarget(24049), milliseconds(500)});
  CHECK(NextEvent<connection_failed>(ring).failure ==
        connection_failure::kRefused);
}

}  // namespace papayaglade
