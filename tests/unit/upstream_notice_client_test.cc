#include <atomic>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "platform/platform_wire_format.h"
#include "transport/upstream_client.h"

namespace papayaglade {

namespace {

using std::chrono::milliseconds;
using tcp = boost::asio::ip::tcp;

const std::string kStamp =
    "Papayaglade-Attempt-Id: abc\r\nPapayaglade-Server-Stamp: s\r\n";
const std::string kNotExecuted =
    "HTTP/1.1 503 Service Unavailable\r\nPapayaglade-Not-Executed: 1\r\n"
    "Content-Length: 0\r\n";

/// Answers one request with `answer` after `delay` and closes the connection.
class scripted_upstream {
 public:
  scripted_upstream(std::string answer, milliseconds delay)
      : acceptor_(io_, tcp::endpoint(tcp::v4(), 0)),
        thread_([this, answer = std::move(answer), delay] {
          tcp::socket socket(io_);
          acceptor_.accept(socket);
          boost::asio::streambuf request;
          boost::system::error_code failed;
          boost::asio::read_until(socket, request, "\r\n\r\n", failed);
          std::this_thread::sleep_for(delay);
          boost::asio::write(socket, boost::asio::buffer(answer), failed);
        }) {}
  ~scripted_upstream() { thread_.join(); }

  std::uint16_t Port() const { return acceptor_.local_endpoint().port(); }

 private:
  boost::asio::io_context io_;
  tcp::acceptor acceptor_;
  std::thread thread_;
};

/// What the client knows of the upstream after one attempt.
struct learnt {
  bool leaving = false;
  bool paused = false;
  std::vector<upstream_notice> notices;
  std::size_t sent_to_leaving = 0;
  std::vector<milliseconds> usable;
};

enum class caller { kWaits, kHasLeft };
enum class standing { kStays, kLeaves };

learnt AskOnce(const std::string& answer, bool is_fanout = false,
               caller waits = caller::kWaits,
               standing upstream_state = standing::kStays) {
  scripted_upstream upstream(answer, milliseconds(20));
  loop_context loop;
  const platform::platform_wire_format wire;
  upstream_directory directory("kigali", shutdown_timeouts(), warmup_limits());
  attempt_policy policy{repeat_limits()};
  reachability_monitor reachability;
  upstream_client client(loop, wire, directory, policy, reachability);
  upstream_record record;
  record.id = "i-1";
  record.service = "archive";
  record.address = {"127.0.0.1", upstream.Port()};
  record.data_centre = "kigali";
  directory.Update(record, loop_context::Now());
  auto configuration = std::make_shared<tier_configuration>();
  route target;
  target.name = "pull";
  if (is_fanout) target.target = fanout_target();
  configuration->routes.push_back(target);
  auto request = std::make_shared<entry_request>();
  request->id = "abc";
  request->method = "GET";
  request->upstream_head = "GET / HTTP/1.1\r\nHost: h\r\n";
  learnt result;
  client.SetOnNotice([&](const upstream_record&, const upstream_notice& each) {
    result.notices.push_back(each);
  });
  const upstream_pointer known = directory.All().at("i-1");
  if (upstream_state == standing::kLeaves) {
    directory.ConfirmList(loop_context::Now());
    directory.Remove("i-1", loop_context::Now());
  }
  client.SetOnSentToLeaving([&](const upstream_record&, milliseconds usable) {
    result.usable.push_back(usable);
  });
  const auto number =
      client.StartAttempt({known, request, configuration,
                           &configuration->routes[0], milliseconds(1000)},
                          [&](const attempt_result&) { loop.Stop(); });
  if (waits == caller::kHasLeft) client.Abandon(number);
  loop.ScheduleAfter(milliseconds(waits == caller::kHasLeft ? 200 : 3000),
                     [&](monotonic_time) { loop.Stop(); });
  loop.Run();
  result.leaving = known->announced_leaving;
  result.sent_to_leaving = client.Totals().sent_to_leaving;
  result.paused = known->pause.Until() > loop_context::Now();
  return result;
}

std::string Success(const std::string& fields) {
  return "HTTP/1.1 200 OK\r\n" + kStamp + fields +
         "Content-Length: 2\r\n\r\nok";
}

}  // namespace

TEST_CASE("an upstream's leaving is heard in any answer", "[notice][client]") {
  const std::string leaving = "Server-Leaving: 1\r\n";
  CHECK(AskOnce(Success(leaving)).leaving);
  CHECK(AskOnce(Success("server-leaving:  1 \r\n")).leaving);
  CHECK(AskOnce(Success(leaving), true).leaving);
  CHECK(AskOnce(kNotExecuted + leaving + "\r\n").leaving);
  CHECK(AskOnce("HTTP/1.1 500 Internal Server Error\r\n" + kStamp + leaving +
                "Content-Length: 0\r\n\r\n")
            .leaving);
  // The answer breaks off behind its head.
  CHECK(AskOnce("HTTP/1.1 200 OK\r\n" + kStamp + leaving +
                "Content-Length: 9\r\n\r\nok")
            .leaving);
  // It answers another request, but it is this upstream that speaks.
  CHECK(AskOnce("HTTP/1.1 200 OK\r\nPapayaglade-Attempt-Id: other\r\n" +
                leaving + "Content-Length: 0\r\n\r\n")
            .leaving);
}

TEST_CASE("an upstream's words are heard though nobody awaits its answer",
          "[notice][client]") {
  const learnt heard =
      AskOnce(Success("Server-Leaving: 1\r\n"), false, caller::kHasLeft);
  CHECK(heard.leaving);
  CHECK(AskOnce(kNotExecuted + "Retry-After: 2\r\n\r\n", true, caller::kHasLeft)
            .paused);
}

TEST_CASE("other values do not mean that an upstream leaves",
          "[notice][client]") {
  for (const char* value : {"", "0", "2", "11", "true", "1, 1", "-1", "1.0"}) {
    CAPTURE(value);
    const learnt heard =
        AskOnce(Success(std::string("Server-Leaving: ") + value + "\r\n"));
    CHECK_FALSE(heard.leaving);
    CHECK(heard.notices.empty());
  }
  // Another upstream has this address.
  CHECK_FALSE(AskOnce("HTTP/1.1 421 Misdirected Request\r\n"
                      "Server-Leaving: 1\r\nContent-Length: 0\r\n\r\n")
                  .leaving);
}

TEST_CASE("a refusal that names a time pauses the upstream",
          "[notice][client]") {
  const learnt heard = AskOnce(kNotExecuted + "Retry-After: 2\r\n\r\n");
  CHECK(heard.paused);
  REQUIRE(heard.notices.size() == 1);
  CHECK(heard.notices[0].retry_after == milliseconds(2000));
  CHECK(AskOnce("HTTP/1.1 503 Service Unavailable\r\n" + kStamp +
                "Retry-After: 0.9\r\nContent-Length: 0\r\n\r\n")
            .paused);
  // The longest of several times counts.
  const learnt several =
      AskOnce(kNotExecuted + "Retry-After: 1\r\nRetry-After: 3\r\n\r\n");
  REQUIRE(several.notices.size() == 1);
  CHECK(several.notices[0].retry_after == milliseconds(3000));
  // Only a refusal asks for a pause.
  CHECK_FALSE(AskOnce(Success("Retry-After: 2\r\n")).paused);
}

TEST_CASE("a time that is not understood pauses nothing and is reported",
          "[notice][client]") {
  for (const char* value :
       {"soon", "-1", "Wed, 21 Oct 2026 07:28:00 GMT", "1e3"}) {
    CAPTURE(value);
    const learnt heard =
        AskOnce(kNotExecuted + "Retry-After: " + value + "\r\n\r\n");
    CHECK_FALSE(heard.paused);
    REQUIRE(heard.notices.size() == 1);
    CHECK(heard.notices[0].retry_after_unreadable);
  }
}

// Guards against attempts at leaving upstreams that on-call cannot see.
TEST_CASE("attempts at a leaving upstream are counted", "[client][leaving]") {
  const learnt stays = AskOnce(Success(""));
  CHECK(stays.sent_to_leaving == 0);
  CHECK(stays.usable.empty());
  const learnt leaves =
      AskOnce(Success(""), false, caller::kWaits, standing::kLeaves);
  CHECK(leaves.sent_to_leaving == 1);
  REQUIRE(leaves.usable.size() == 1);
  CHECK(leaves.usable[0] > milliseconds(1500));
  CHECK(leaves.usable[0] <= milliseconds(2200));
}

}  // namespace papayaglade
