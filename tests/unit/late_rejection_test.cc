#include <atomic>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "coordination/repeatable_requests.h"
#include "platform/platform_wire_format.h"
#include "transport/upstream_client.h"

namespace papayaglade {

namespace {

using std::chrono::milliseconds;
using tcp = boost::asio::ip::tcp;

const std::string kIdField = "Papayaglade-Attempt-Id: ";

/// Runs each request but the first, which it rejects. It sends an answer that
/// it has `repeated` a second time, where the next answer on the connection is
/// due.
class rejecting_upstream {
 public:
  enum class repeated { kNothing, kRejection, kUnnamedRejection };

  explicit rejecting_upstream(repeated what)
      : repeated_(what), acceptor_(io_, tcp::endpoint(tcp::v4(), 0)) {
    Accept();
    thread_ = std::thread([this] { io_.run(); });
  }
  ~rejecting_upstream() {
    io_.stop();
    thread_.join();
  }

  std::uint16_t Port() const { return acceptor_.local_endpoint().port(); }
  int Runs() const { return runs_; }
  int Connections() const { return connections_; }

 private:
  struct connection {
    explicit connection(tcp::socket accepted) : socket(std::move(accepted)) {}
    tcp::socket socket;
    boost::asio::streambuf received;
    std::string copy;  ///< Sent before the next answer.
  };

  void Accept() {
    acceptor_.async_accept(
        [this](const boost::system::error_code& failed, tcp::socket socket) {
          if (failed) return;
          ++connections_;
          Read(std::make_shared<connection>(std::move(socket)));
          Accept();
        });
  }

  void Read(const std::shared_ptr<connection>& open) {
    boost::asio::async_read_until(
        open->socket, open->received, "\r\n\r\n",
        [this, open](const boost::system::error_code& failed,
                     std::size_t bytes) {
          if (failed) return;
          const auto* data =
              static_cast<const char*>(open->received.data().data());
          Answer(*open, std::string(data, bytes));
          open->received.consume(bytes);
          Read(open);
        });
  }

  void Answer(connection& open, const std::string& request) {
    const auto begin = request.find(kIdField);
    const auto end = request.find("\r\n", begin);
    const std::string id = request.substr(begin, end - begin) + "\r\n";
    std::string answer = std::exchange(open.copy, "");
    if (std::exchange(rejects_, false)) {
      const bool unnamed = repeated_ == repeated::kUnnamedRejection;
      answer +=
          "HTTP/1.1 503 Service Unavailable\r\nPapayaglade-Not-Executed: 1\r\n"
          "Content-Length: 0\r\n" +
          (unnamed ? "" : id) + "\r\n";
      if (repeated_ != repeated::kNothing) open.copy = answer;
    } else {
      ++runs_;
      answer +=
          "HTTP/1.1 200 OK\r\nPapayaglade-Server-Stamp: s\r\n"
          "Content-Length: 2\r\n" +
          id + "\r\nok";
    }
    boost::system::error_code failed;
    boost::asio::write(open.socket, boost::asio::buffer(answer), failed);
  }

  repeated repeated_;
  boost::asio::io_context io_;
  tcp::acceptor acceptor_;
  bool rejects_ = true;
  std::atomic<int> runs_{0};
  std::atomic<int> connections_{0};
  std::thread thread_;
};

/// Sends attempts to one upstream, one after the other.
class single_upstream_tier {
 public:
  explicit single_upstream_tier(std::uint16_t port)
      : configuration_(std::make_shared<tier_configuration>()) {
    upstream_record record;
    record.id = "i-1";
    record.service = "desk";
    record.address = {"127.0.0.1", port};
    record.data_centre = "kigali";
    directory_.Update(record, loop_context::Now());
    configuration_->routes.emplace_back();
    configuration_->routes[0].name = "book";
  }

  attempt_end Send(const std::string& id) {
    auto request = std::make_shared<entry_request>();
    request->id = id;
    request->method = "GET";
    request->upstream_head =
        "GET / HTTP/1.1\r\nHost: h\r\n" + kIdField + id + "\r\n";
    std::optional<attempt_end> end;
    client_.StartAttempt({directory_.All().at("i-1"), request, configuration_,
                          &configuration_->routes[0], milliseconds(5000)},
                         [&](const attempt_result& result) {
                           end = result.end;
                           loop_.Stop();
                         });
    loop_.Io().restart();
    loop_.Run();
    return end.value_or(attempt_end::kBroken);
  }

 private:
  loop_context loop_;
  platform::platform_wire_format wire_;
  upstream_directory directory_{"kigali", shutdown_timeouts(), warmup_limits()};
  attempt_policy policy_{repeat_limits()};
  reachability_monitor reachability_;
  upstream_client client_{loop_, wire_, directory_, policy_, reachability_};
  std::shared_ptr<tier_configuration> configuration_;
};

}  // namespace

// Guards against a refusal that is not true: a second copy of the rejection of
// one attempt was taken for the answer to the next attempt, which was run.
TEST_CASE("a late copy of a rejection does not answer the next attempt",
          "[client][late]") {
  rejecting_upstream upstream(rejecting_upstream::repeated::kRejection);
  single_upstream_tier tier(upstream.Port());
  REQUIRE(tier.Send("a") == attempt_end::kNotRun);
  CHECK(tier.Send("a") == attempt_end::kAnswered);
  CHECK(upstream.Runs() == 1);
}

// Guards against a new connection for each request that follows a rejection.
TEST_CASE("the connection of a rejected request is kept for other requests",
          "[client][late]") {
  rejecting_upstream upstream(rejecting_upstream::repeated::kNothing);
  single_upstream_tier tier(upstream.Port());
  REQUIRE(tier.Send("a") == attempt_end::kNotRun);
  CHECK(tier.Send("b") == attempt_end::kAnswered);
  CHECK(tier.Send("c") == attempt_end::kAnswered);
  CHECK(upstream.Connections() == 1);
  CHECK(tier.Send("a") == attempt_end::kAnswered);
  CHECK(upstream.Connections() == 2);
}

// Guards against a refusal that is not true: a late copy of an answer that
// names no request was taken for the answer to whatever request came next.
TEST_CASE("a late copy that names no request does not answer another one",
          "[client][late]") {
  rejecting_upstream upstream(rejecting_upstream::repeated::kUnnamedRejection);
  single_upstream_tier tier(upstream.Port());
  REQUIRE(tier.Send("a") == attempt_end::kNotRun);
  CHECK(tier.Send("b") == attempt_end::kAnswered);
  CHECK(upstream.Runs() == 1);
}

// Guards against memory that grows with the requests that a connection carries.
TEST_CASE(
    "a connection remembers few requests, and none for longer than needed",
    "[client][late]") {
  const monotonic_time start{std::chrono::hours(1)};
  repeatable_requests requests;
  for (std::size_t i = 0; i < repeatable_requests::kCapacity; ++i) {
    REQUIRE(requests.Add("a-" + std::to_string(i), start + milliseconds(10),
                         start));
  }
  CHECK(requests.Contains("a-0"));
  CHECK_FALSE(requests.Add("b", start + milliseconds(10), start));
  CHECK(requests.Add("b", start + milliseconds(20), start + milliseconds(10)));
  CHECK(requests.Contains("b"));
  CHECK_FALSE(requests.Contains("a-0"));
}

}  // namespace papayaglade
