#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "store_standin.h"
#include "transport/caller_port.h"

namespace papayaglade {

namespace {

using std::chrono::milliseconds;
using tcp = boost::asio::ip::tcp;

constexpr std::size_t kAnswerBytes = 7UL * 1000 * 1000;
// Half of the memory of a machine, which is 260 MB.
constexpr std::size_t kMostHeldBytes = 130UL * 1000 * 1000;
constexpr int kReceiveBufferBytes = 4096;

/// Answers requests at once, or when the test says so.
class large_service : public caller_port::service {
 public:
  caller_limits Limits() const override { return {}; }
  void OnRequest(const std::shared_ptr<caller_connection>& from,
                 caller_message /*message*/) override {
    const std::size_t number = connections.size();
    connections.push_back(from);
    if (waits) return;
    if (from->HasRoomForAnswers()) return Answer(number);
    ++refused;
    from->Respond("[refused]", false);
  }
  void OnMalformed(const std::shared_ptr<caller_connection>& from,
                   bool /*too_large*/) override {
    from->Respond("[bad]", true);
  }

  void Answer(std::size_t number) {
    const auto& to = connections[number];
    to->Respond(std::string(kAnswerBytes, 'x'), false);
    to->AddOnUnwritten([this, number] {
      const bool left = IsEndedByCaller(connections[number]->End());
      if (!left) closed.push_back(number);
    });
  }
  std::size_t HeldBytes() const {
    return kAnswerBytes *
           static_cast<std::size_t>(std::count_if(
               connections.begin(), connections.end(), [&](const auto& each) {
                 return each->HasUnwrittenAnswer() &&
                        each->End() != connection_end::kUnread;
               }));
  }

  bool waits = false;
  std::size_t refused = 0;
  std::vector<std::size_t> closed;  ///< Requests whose callers did not leave.
  std::vector<std::shared_ptr<caller_connection>> connections;
};

struct large_port {
  large_port() { REQUIRE(port.Listen(address).empty()); }

  /// Sends one more request, and returns once it has arrived.
  std::unique_ptr<tcp::socket> Ask() {
    auto socket = std::make_unique<tcp::socket>(io, tcp::v4());
    socket->set_option(
        boost::asio::socket_base::receive_buffer_size(kReceiveBufferBytes));
    socket->connect({boost::asio::ip::address_v4::loopback(), address.port});
    boost::asio::write(
        *socket, boost::asio::buffer(std::string("GET /a HTTP/1.1\r\n\r\n")));
    const std::size_t count = service.connections.size() + 1;
    REQUIRE(
        RunUntil(loop, [&] { return service.connections.size() == count; }));
    return socket;
  }
  void RunFor(milliseconds time) {
    const monotonic_time end = loop_context::Now() + time;
    RunUntil(loop, [&] { return loop_context::Now() >= end; });
  }

  boost::asio::io_context io;
  endpoint address = FindFreeEndpoint();
  loop_context loop;
  large_service service;
  caller_port port{loop, service, 100};
};

}  // namespace

// Guards against the end of the process by the memory of answers that callers
// do not read.
TEST_CASE("requests are refused while too many answers are not read",
          "[unread]") {
  large_port tier;
  std::vector<std::unique_ptr<tcp::socket>> callers;
  callers.reserve(60);
  for (int i = 0; i < 60; ++i) callers.push_back(tier.Ask());
  CHECK(tier.service.HeldBytes() < kMostHeldBytes);
  CHECK(tier.service.closed.empty());
  const std::size_t refused = tier.service.refused;
  CHECK(refused > 0);
  // The callers that leave make room again.
  callers.clear();
  REQUIRE(
      RunUntil(tier.loop, [&] { return tier.port.ConnectionCount() == 0; }));
  tier.Ask();
  CHECK(tier.service.refused == refused);
}

// Guards against the same end by requests that are in progress already.
TEST_CASE("a caller that reads gets its answer while others are closed",
          "[unread]") {
  constexpr std::size_t kStuck = 40;
  large_port tier;
  tier.service.waits = true;
  const auto reader = tier.Ask();
  std::vector<std::unique_ptr<tcp::socket>> stuck;
  for (std::size_t i = 0; i < kStuck; ++i) stuck.push_back(tier.Ask());
  std::string received;
  std::thread reading([&] {
    boost::system::error_code failed;
    while (!failed && received.size() < kAnswerBytes) {
      std::this_thread::sleep_for(milliseconds(5));
      boost::asio::read(*reader, boost::asio::dynamic_buffer(received),
                        boost::asio::transfer_exactly(50'000), failed);
    }
  });
  for (std::size_t i = 0; i <= kStuck; ++i) {
    tier.service.Answer(i);
    tier.RunFor(milliseconds(10));
    CHECK(tier.service.HeldBytes() < kMostHeldBytes);
  }
  tier.RunFor(milliseconds(1500));
  reading.join();
  CHECK(received.size() == kAnswerBytes);
  // Those whose answers have waited longest are closed first.
  REQUIRE_FALSE(tier.service.closed.empty());
  CHECK(tier.service.closed.front() == 1);
  for (const std::size_t each : tier.service.closed) {
    CHECK(tier.service.connections[each]->End() == connection_end::kUnread);
  }
  CHECK(std::is_sorted(tier.service.closed.begin(), tier.service.closed.end()));
}

}  // namespace papayaglade
