#include <atomic>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "transport/http_exchange_channel.h"

namespace papayaglade {

namespace {

using std::chrono::milliseconds;
using tcp = boost::asio::ip::tcp;

constexpr milliseconds kConnectTimeout{2000};
constexpr milliseconds kTestTimeout{10000};
const std::string kRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
const std::string kSignature = "Papayaglade-Server-Stamp: s\r\n";
const std::string kEmptyLine = "\r\n";

enum class ending { kOrderly, kReset };

/// What the next connection of a cutting_server does.
struct script {
  std::string bytes;
  ending end = ending::kOrderly;
  bool byte_by_byte = false;
};

/// Reads one request on each connection, sends the bytes of the script and ends
/// the connection.
class cutting_server {
 public:
  cutting_server()
      : acceptor_(io_, tcp::endpoint(tcp::v4(), 0)), thread_([this] {
          while (ServeNext()) {
          }
        }) {}
  ~cutting_server() {
    stopping_ = true;
    tcp::socket last(io_);
    boost::system::error_code ignored;
    last.connect(acceptor_.local_endpoint(), ignored);
    thread_.join();
  }

  endpoint Address() const {
    return {"127.0.0.1", acceptor_.local_endpoint().port()};
  }

  /// Set only while no connection is open.
  script next;

 private:
  bool ServeNext() {
    tcp::socket socket(io_);
    acceptor_.accept(socket);
    if (stopping_) return false;
    boost::asio::streambuf request;
    boost::system::error_code failed;
    boost::asio::read_until(socket, request, "\r\n\r\n", failed);
    socket.set_option(tcp::no_delay(true), failed);
    const std::size_t step = next.byte_by_byte ? 1 : next.bytes.size();
    for (std::size_t sent = 0; sent < next.bytes.size(); sent += step) {
      const auto part = boost::asio::buffer(next.bytes.data() + sent, step);
      boost::asio::write(socket, part, failed);
      if (next.byte_by_byte) std::this_thread::sleep_for(kByteDelay);
    }
    if (next.end == ending::kReset) {
      // Zero linger sends a reset; the destructor would close in order.
      socket.set_option(boost::asio::socket_base::linger(true, 0), failed);
      socket.close(failed);
    }
    return true;
  }

  static constexpr std::chrono::microseconds kByteDelay{100};

  boost::asio::io_context io_;
  tcp::acceptor acceptor_;
  std::atomic<bool> stopping_{false};
  std::thread thread_;
};

/// Sends scripts over new channels and returns the results.
class cut_exchanges {
 public:
  http_exchange_channel::result Run(script next, bool is_head) {
    server_.next = std::move(next);
    http_exchange_channel::result result;
    result.failure = channel_failure::kNotConnected;
    result.why = "no result within kTestTimeout";
    const auto channel = std::make_shared<http_exchange_channel>(
        loop_, server_.Address(), kConnectTimeout);
    const auto timeout = loop_.ScheduleAfter(
        kTestTimeout, [this](monotonic_time) { loop_.Stop(); });
    channel->Exchange(kRequest, is_head,
                      [&](http_exchange_channel::result ended) {
                        result = std::move(ended);
                        loop_.Stop();
                      });
    loop_.Io().restart();
    loop_.Run();
    loop_.Cancel(timeout);
    channel->Close();
    return result;
  }

 private:
  cutting_server server_;
  loop_context loop_;
};

/// An answer of an upstream.
struct answer {
  std::string name;
  std::string head;
  std::string rest;       ///< All bytes after the head.
  std::string body = "";  ///< The body that the caller gets.
  bool ends_with_connection = false;
  bool is_head = false;
};

std::vector<answer> WholeAnswers() {
  const std::string ok = "HTTP/1.1 200 OK\r\n" + kSignature;
  const std::string chunked =
      ok + "Transfer-Encoding: chunked\r\n" + kEmptyLine;
  const std::string length = "Content-Length: 5\r\n" + kEmptyLine;
  const std::string interim = "HTTP/1.1 100 Continue\r\n" + kEmptyLine;
  return {
      {"length", ok + length, "abcde", "abcde"},
      {"length given twice", ok + "Content-Length: 5\r\n" + length, "abcde",
       "abcde"},
      {"length of zero", ok + "Content-Length: 0\r\n" + kEmptyLine, ""},
      {"folded field", ok + "X: a\r\n b\r\n" + length, "abcde", "abcde"},
      {"version 1.0 with a length", "HTTP/1.0 200 OK\r\n" + kSignature + length,
       "abcde", "abcde"},
      {"chunked", chunked, "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n", "abcde"},
      {"chunked with extensions and trailers", chunked,
       "3;a=b;c=\"d\"\r\nabc\r\n02;e\r\nde\r\n000;f=g\r\nX-Sum: 1\r\n"
       "X-Other: 2\r\n\r\n",
       "abcde"},
      {"chunked without a body", chunked, "0\r\n\r\n"},
      {"ends with the connection", ok + "Connection: close\r\n" + kEmptyLine,
       "abcde", "abcde", true},
      {"ends with the connection, kept alive by its head",
       ok + "Connection: keep-alive\r\n" + kEmptyLine, "abcde", "abcde", true},
      {"version 1.0, ends with the connection",
       "HTTP/1.0 200 OK\r\n" + kSignature + kEmptyLine, "abcde", "abcde", true},
      {"status 204", "HTTP/1.1 204 No Content\r\n" + kSignature + kEmptyLine,
       ""},
      {"status 304",
       "HTTP/1.1 304 Not Modified\r\n" + kSignature +
           "Content-Length: 9\r\n\r\n",
       ""},
      {"to HEAD", ok + "Content-Length: 9\r\n" + kEmptyLine, "", "", false,
       true},
      {"to HEAD, chunked", chunked, "", "", false, true},
      {"after an interim answer", interim + ok + length, "abcde", "abcde"},
      {"after two interim answers, ends with the connection",
       interim + "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + ok +
           kEmptyLine,
       "abcde", "abcde", true},
  };
}

/// Bytes that are no valid answer, whole or in part.
std::vector<std::string> InvalidAnswers() {
  const std::string ok = "HTTP/1.1 200 OK\r\n" + kSignature;
  const std::string body = kEmptyLine + "abcde";
  return {
      "",
      "HTTP/1.1 200 OK\r\n",
      "HTTP/1.1 200",
      "HTTP/1.1 100 Continue\r\n\r\n",
      "HTTP/1.1 200 OK\nContent-Length: 5\n\nabcde",
      "HTTP/1.1 200 OK\r\nX: a\nContent-Length: 5\r\n\r\nabcde",
      ok + "X: a\r\n\nabcde",
      ok + "Content-Length: 5\r\nContent-Length: 4\r\n" + body,
      ok + "Content-Length: 5, 4\r\n" + body,
      ok + "Content-Length: +5\r\n" + body,
      ok + "Content-Length: -5\r\n" + body,
      ok + "Content-Length: 0x5\r\n" + body,
      ok + "Content-Length:\r\n" + body,
      ok + "Content-Length: 18446744073709551616\r\n" + body,
      ok + "Content-Length: 18446744073709551615\r\n" + body,
      ok + "Content-Length: 99999999999\r\n" + body,
      ok + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n" + body,
      ok + "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n" + body,
      ok + "Transfer-Encoding: gzip\r\n" + body,
      ok + "Transfer-Encoding: gzip\r\nContent-Length: 5\r\n" + body,
      ok + "Transfer-Encoding: gzip, chunked\r\n\r\n5\r\nabcde\r\n0\r\n\r\n",
      ok + "Transfer-Encoding: chunked, gzip\r\n" + body,
      ok + "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n\r\n"
           "5\r\nabcde\r\n0\r\n\r\n",
      ok + "Transfer-Encoding: xchunked\r\n" + body,
      ok + "Transfer-Encoding: chunked\r\n\r\n5x\r\nabcde\r\n0\r\n\r\n",
      ok + "Transfer-Encoding: chunked\r\n\r\n-5\r\nabcde\r\n0\r\n\r\n",
      ok + "Transfer-Encoding: chunked\r\n\r\n"
           "10000000000000005\r\nabcde\r\n0\r\n\r\n",
      ok + "Transfer-Encoding: chunked\r\n\r\n5\r\nabcdef\r\n0\r\n\r\n",
      "HTTP/1.1 099 Odd\r\n" + kSignature + body,
      "HTTP/1.1 000 Odd\r\n" + kSignature + "Content-Length: 5\r\n" + body,
      "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n" + ok +
          "Content-Length: 5\r\n" + body,
      "HTTP/2.0 200 OK\r\n" + kSignature + body,
  };
}

}  // namespace

// Guards against an answer that ends early and is taken as complete.
TEST_CASE("no part of an upstream's answer is taken as the whole", "[cut]") {
  cut_exchanges exchanges;
  for (const answer& each : WholeAnswers()) {
    const std::string whole = each.head + each.rest;
    for (const ending end : {ending::kOrderly, ending::kReset}) {
      for (std::size_t size = 0; size < whole.size(); ++size) {
        const auto result =
            exchanges.Run({whole.substr(0, size), end}, each.is_head);
        // The end of the connection is the only end that such a body has.
        const bool no_other_end = each.ends_with_connection &&
                                  end == ending::kOrderly &&
                                  size >= each.head.size();
        if (no_other_end != result.failure.has_value()) continue;
        FAIL_CHECK(each.name
                   << ", cut at byte " << size << " of " << whole.size() << ", "
                   << (end == ending::kReset ? "reset" : "closed") << ": "
                   << result.why << " body " << result.message.body());
      }
    }
  }
}

TEST_CASE("a whole answer is taken, however it is delivered", "[cut]") {
  cut_exchanges exchanges;
  for (const answer& each : WholeAnswers()) {
    INFO(each.name);
    const bool byte_by_byte = GENERATE(false, true);
    const auto result = exchanges.Run(
        {each.head + each.rest, ending::kOrderly, byte_by_byte}, each.is_head);
    CHECK_FALSE(result.failure.has_value());
    CHECK(result.message.body() == each.body);
    CHECK(result.message["Papayaglade-Server-Stamp"] == "s");
  }
}

// Guards against bodies whose framing is unknown and that are passed on.
TEST_CASE("no part of an invalid answer is taken as an answer", "[cut]") {
  cut_exchanges exchanges;
  for (const std::string& each : InvalidAnswers()) {
    for (const ending end : {ending::kOrderly, ending::kReset}) {
      for (std::size_t size = 0; size <= each.size(); ++size) {
        const auto result = exchanges.Run({each.substr(0, size), end}, false);
        if (result.failure == channel_failure::kBroken) continue;
        FAIL_CHECK("cut at byte " << size << ": " << each);
      }
    }
    CAPTURE(each);
    const auto slow = exchanges.Run({each, ending::kOrderly, true}, false);
    CHECK(slow.failure == channel_failure::kBroken);
  }
}

// Guards against an answer that a reset cuts short while the request is still
// being written: after a failed write the next read reports an orderly end.
TEST_CASE("a reset during the request does not complete an answer", "[cut]") {
  const std::string length =
      GENERATE(as<std::string>{}, "", "Content-Length: 100000\r\n");
  boost::asio::io_context io;
  tcp::acceptor acceptor(io, tcp::endpoint(tcp::v4(), 0));
  std::thread answering([&] {
    tcp::socket socket(io);
    acceptor.accept(socket);
    boost::system::error_code failed;
    boost::asio::streambuf request;
    boost::asio::read_until(socket, request, "\r\n\r\n", failed);
    const std::string start =
        "HTTP/1.1 200 OK\r\n" + kSignature + length + kEmptyLine + "abcde";
    boost::asio::write(socket, boost::asio::buffer(start), failed);
    std::this_thread::sleep_for(milliseconds(100));
    socket.set_option(boost::asio::socket_base::linger(true, 0), failed);
    socket.close(failed);
  });
  loop_context loop;
  const auto channel = std::make_shared<http_exchange_channel>(
      loop, endpoint{"127.0.0.1", acceptor.local_endpoint().port()},
      kConnectTimeout);
  std::optional<channel_failure> failure;
  const std::string body(32UL * 1024 * 1024, 'x');
  channel->Exchange("POST / HTTP/1.1\r\nContent-Length: " +
                        std::to_string(body.size()) + "\r\n\r\n" + body,
                    false, [&](const http_exchange_channel::result& ended) {
                      failure = ended.failure;
                      loop.Stop();
                    });
  loop.Run();
  answering.join();
  CHECK(failure == channel_failure::kBroken);
}

// Guards against the loss of a whole answer behind which the upstream resets
// the connection, because it has not read the request.
TEST_CASE("an answer that has arrived is read after a failed write", "[cut]") {
  boost::asio::io_context io;
  tcp::acceptor acceptor(io, tcp::endpoint(tcp::v4(), 0));
  // Fits into the window, so that the reset destroys none of it.
  const std::string answer(40UL * 1024, 'a');
  std::atomic<bool> reset{false};
  std::thread answering([&] {
    tcp::socket socket(io);
    acceptor.accept(socket);
    boost::system::error_code failed;
    boost::asio::streambuf request;
    boost::asio::read_until(socket, request, "\r\n\r\n", failed);
    boost::asio::write(
        socket,
        boost::asio::buffer("HTTP/1.1 200 OK\r\n" + kSignature +
                            "Content-Length: " + std::to_string(answer.size()) +
                            "\r\n\r\n" + answer),
        failed);
    std::this_thread::sleep_for(milliseconds(50));
    socket.close(failed);
    reset = true;
  });
  loop_context loop;
  const auto channel = std::make_shared<http_exchange_channel>(
      loop, endpoint{"127.0.0.1", acceptor.local_endpoint().port()},
      kConnectTimeout);
  http_exchange_channel::result result;
  const std::string body(32UL * 1024 * 1024, 'x');
  channel->Exchange("POST / HTTP/1.1\r\nContent-Length: " +
                        std::to_string(body.size()) + "\r\n\r\n" + body,
                    false, [&](http_exchange_channel::result ended) {
                      result = std::move(ended);
                      loop.Stop();
                    });
  // The loop is held up until the answer and the reset have arrived.
  loop.Io().run_for(milliseconds(20));
  while (!reset) std::this_thread::sleep_for(milliseconds(1));
  std::this_thread::sleep_for(milliseconds(100));
  if (!loop.Io().stopped()) loop.Run();
  answering.join();
  INFO(result.why);
  CHECK_FALSE(result.failure.has_value());
  CHECK((result.message.body() == answer));
}

}  // namespace papayaglade
