#include "platform/platform_wire_format.h"

#include <boost/beast/http/parser.hpp>
#include <catch2/catch.hpp>
#include <string>

namespace papayaglade::platform {

namespace {

namespace http = boost::beast::http;
using std::chrono::milliseconds;

caller_message Request(const std::string& text) {
  http::request_parser<http::string_body> parser;
  parser.eager(true);
  boost::system::error_code failed;
  parser.put(boost::asio::buffer(text), failed);
  REQUIRE_FALSE(failed);
  return parser.release();
}

upstream_message Answer(const std::string& text) {
  http::response_parser<http::string_body> parser;
  parser.eager(true);
  boost::system::error_code failed;
  parser.put(boost::asio::buffer(text), failed);
  REQUIRE_FALSE(failed);
  return parser.release();
}

entry_request Decoded(const std::string& text) {
  auto decoded = platform_wire_format().DecodeRequest(Request(text));
  REQUIRE(std::holds_alternative<entry_request>(decoded));
  return std::get<entry_request>(decoded);
}

attempt_end AttemptEndOf(const std::string& text, bool part = false) {
  entry_request request;
  request.id = "abc";
  return platform_wire_format().DecodeReply(Answer(text), request, part).end;
}

bool Contains(const std::string& text, const std::string& what) {
  return text.find(what) != std::string::npos;
}

}  // namespace

TEST_CASE("a request is forwarded unchanged", "[wire]") {
  const entry_request request = Decoded(
      "POST /a/b?c=%20d HTTP/1.1\r\nHost: shop.example\r\n"
      "Papayaglade-Attempt-Id: abc\r\nPapayaglade-Deadline-Ms: 400\r\n"
      "X-Own: 1\r\nConnection: keep-alive, X-Hop\r\nX-Hop: 2\r\n"
      "Papayaglade-Target-Instance: forged\r\n"
      "Content-Length: 4\r\n\r\nbody");
  CHECK(request.id == "abc");
  CHECK(request.time_left == milliseconds(400));
  const std::string sent =
      platform_wire_format().EncodeAttempt(request, milliseconds(350), "i-1");
  CHECK(Contains(sent, "POST /a/b?c=%20d HTTP/1.1\r\n"));
  CHECK(Contains(sent, "Host: shop.example\r\n"));
  CHECK(Contains(sent, "Papayaglade-Attempt-Id: abc\r\n"));
  CHECK(Contains(sent, "X-Own: 1\r\n"));
  CHECK(Contains(sent, "Papayaglade-Deadline-Ms: 350\r\n"));
  CHECK(Contains(sent, "Papayaglade-Target-Instance: i-1\r\n"));
  CHECK(Contains(sent, "Content-Length: 4\r\n"));
  CHECK(sent.substr(sent.size() - 8) == "\r\n\r\nbody");
  CHECK_FALSE(Contains(sent, "X-Hop"));
  CHECK_FALSE(Contains(sent, "forged"));
  CHECK_FALSE(Contains(sent, "400"));
}

// Guards against a deadline whose arithmetic overflows, so that a request is
// kept or handed on with more time than its caller has.
TEST_CASE("any value of the caller's deadline is a time", "[wire]") {
  const auto time_left = [](const std::string& value) {
    return Decoded(
               "GET / HTTP/1.1\r\nHost: h\r\nPapayaglade-Attempt-Id: a\r\n"
               "Papayaglade-Deadline-Ms: " +
               value + "\r\n\r\n")
        .time_left;
  };
  const milliseconds day = std::chrono::hours(24);
  CHECK(time_left("400") == milliseconds(400));
  CHECK(time_left("0") == milliseconds(0));
  for (const char* past :
       {"-1", "-9223372036854775808", "-99999999999999999999"}) {
    INFO(past);
    CHECK(time_left(past) == milliseconds(0));
  }
  for (const char* far : {"9223372036854775807", "99999999999999999999"}) {
    INFO(far);
    CHECK(time_left(far).value_or(day) >= day);
    // Adding it to a time of the steady clock does not overflow.
    CHECK(time_left(far).value_or(day) <= 365 * day);
  }
  CHECK_FALSE(time_left("soon").has_value());
}

TEST_CASE("an answer to HEAD states the length that the upstream states",
          "[wire]") {
  const platform_wire_format wire;
  const auto relayed = [&](const std::string& method, const std::string& text) {
    entry_request request;
    request.id = "abc";
    request.method = method;
    http::response_parser<http::string_body> parser;
    parser.skip(method == "HEAD");
    parser.eager(true);
    boost::system::error_code failed;
    parser.put(boost::asio::buffer(text), failed);
    REQUIRE(parser.is_done());
    const auto result = wire.DecodeReply(parser.release(), request, false);
    return wire.EncodeAnswer(relayed_answer{result.reply}, method == "HEAD",
                             true);
  };
  const std::string head = "HTTP/1.1 200 OK\r\nPapayaglade-Server-Stamp: s\r\n";
  const std::string unchanged = "HTTP/1.1 304 Not Modified\r\n";
  CHECK(Contains(relayed("HEAD", head + "Content-Length: 9\r\n\r\n"),
                 "Content-Length: 9\r\n"));
  CHECK_FALSE(Contains(relayed("HEAD", head + "\r\n"), "Content-Length"));
  CHECK(Contains(relayed("GET", unchanged + "Content-Length: 9\r\n\r\n"),
                 "Content-Length: 9\r\n"));
  CHECK_FALSE(Contains(relayed("GET", unchanged + "\r\n"), "Content-Length"));
  CHECK(Contains(relayed("GET", head + "Content-Length: 0\r\n\r\n"),
                 "Content-Length: 0\r\n"));
}

TEST_CASE("a chunked body is forwarded completely, with its length", "[wire]") {
  const entry_request request = Decoded(
      "POST /a/ HTTP/1.1\r\nHost: h\r\nPapayaglade-Attempt-Id: abc\r\n"
      "Transfer-Encoding: chunked\r\n\r\n"
      "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
  CHECK(request.body == "abcde");
  const std::string sent =
      platform_wire_format().EncodeAttempt(request, milliseconds(1), "i");
  CHECK(Contains(sent, "Content-Length: 5\r\n"));
  CHECK_FALSE(Contains(sent, "chunked"));
}

TEST_CASE("a request without exactly one id is malformed", "[wire]") {
  const platform_wire_format wire;
  CHECK(std::holds_alternative<refused_answer>(
      wire.DecodeRequest(Request("GET / HTTP/1.1\r\nHost: h\r\n\r\n"))));
  CHECK(std::holds_alternative<refused_answer>(wire.DecodeRequest(
      Request("GET / HTTP/1.1\r\nHost: h\r\nPapayaglade-Attempt-Id: a\r\n"
              "Papayaglade-Attempt-Id: b\r\n\r\n"))));
}

TEST_CASE("an upstream's answer is classified by status and headers",
          "[wire]") {
  const std::string length = "Content-Length: 0\r\n\r\n";
  const std::string signature = "Papayaglade-Server-Stamp: s\r\n";
  CHECK(AttemptEndOf("HTTP/1.1 200 OK\r\n" + signature + length) ==
        attempt_end::kAnswered);
  CHECK(AttemptEndOf("HTTP/1.1 404 Not Found\r\n" + signature + length) ==
        attempt_end::kAnswered);
  CHECK(AttemptEndOf("HTTP/1.1 404 Not Found\r\n" + signature + length, true) ==
        attempt_end::kFailedAnswer);
  CHECK(AttemptEndOf("HTTP/1.1 500 No\r\n" + signature + length) ==
        attempt_end::kFailedAnswer);
  CHECK(AttemptEndOf("HTTP/1.1 200 OK\r\n" + length) == attempt_end::kBroken);
  CHECK(AttemptEndOf("HTTP/1.1 200 OK\r\nPapayaglade-Attempt-Id: other\r\n" +
                     signature + length) == attempt_end::kBroken);
  CHECK(AttemptEndOf("HTTP/1.1 421 No\r\nPapayaglade-Instance-Id: x\r\n" +
                     length) == attempt_end::kOtherUpstream);
  CHECK(AttemptEndOf("HTTP/1.1 503 No\r\nPapayaglade-Not-Executed: 1\r\n" +
                     length) == attempt_end::kNotRun);
  // Without the header the request may have run.
  CHECK(AttemptEndOf("HTTP/1.1 503 No\r\n" + length) ==
        attempt_end::kFailedAnswer);
}

TEST_CASE("an upstream's answer reaches the caller unchanged", "[wire]") {
  entry_request request;
  request.id = "abc";
  const platform_wire_format wire;
  attempt_result result = wire.DecodeReply(
      Answer("HTTP/1.1 206 Partly\r\nPapayaglade-Server-Stamp: s.1\r\n"
             "Keep-Alive: timeout=4\r\nX-Own: v\r\nContent-Length: 3\r\n\r\n"
             "xyz"),
      request, false);
  const std::string text =
      wire.EncodeAnswer(relayed_answer{result.reply}, false, true);
  CHECK(Contains(text, "HTTP/1.1 206 Partly\r\n"));
  CHECK(Contains(text, "Papayaglade-Server-Stamp: s.1\r\n"));
  CHECK(Contains(text, "X-Own: v\r\n"));
  CHECK(Contains(text, "Content-Length: 3\r\n"));
  CHECK_FALSE(Contains(text, "Keep-Alive"));
  CHECK(text.substr(text.size() - 7) == "\r\n\r\nxyz");
}

TEST_CASE("a merged answer lists its parts and the number missing", "[wire]") {
  const merged_answer answer{{"a.1", "b.2"}, 1, std::string(32, 'r')};
  const std::string text =
      platform_wire_format().EncodeAnswer(answer, false, true);
  CHECK(Contains(text, "Papayaglade-Part-Stamps: a.1, b.2\r\n"));
  CHECK(Contains(text, "Papayaglade-Missing-Parts: 1\r\n"));
  CHECK(Contains(text, "Content-Length: 32\r\n"));
  CHECK_FALSE(Contains(text, "Papayaglade-Server-Stamp"));
}

TEST_CASE("status 503 is sent only if the request has not run", "[wire]") {
  const platform_wire_format wire;
  const auto status = [&](refusal cause) {
    const std::string text = wire.EncodeAnswer(
        refused_answer{cause, milliseconds(250)}, false, true);
    return text.substr(9, 3);
  };
  CHECK(status(refusal::kFailed) == "502");
  CHECK(status(refusal::kTimedOut) == "504");
  CHECK(status(refusal::kNoUpstream) == "503");
  CHECK(status(refusal::kAllRefused) == "503");
  CHECK(status(refusal::kUnread) == "503");
  CHECK(status(refusal::kStopping) == "503");
  CHECK(status(refusal::kStopped) == "504");
  CHECK(status(refusal::kNoRoute) == "404");
  const std::string text = wire.EncodeAnswer(
      refused_answer{refusal::kNoUpstream, milliseconds(250)}, false, false);
  CHECK(Contains(text, "Retry-After: 0.250\r\n"));
  CHECK(Contains(text, "Connection: close\r\n"));
}

}  // namespace papayaglade::platform
