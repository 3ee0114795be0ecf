#include "protocol/relay_codec.h"

#include <catch2/catch.hpp>
#include <string>

#include "protocol/mirror_codec.h"

namespace papayaglade {

namespace {

using std::chrono::milliseconds;

relay_request Request() {
  relay_request request;
  request.id = 7;
  request.route = "search";
  request.request.id = "a1";
  request.request.method = "GET";
  request.request.upstream_head =
      "GET /search/x HTTP/1.1\r\nX-Bytes: \xff\xfe\r\n";
  request.request.body = std::string("\0b", 2);
  request.top_records = 50;
  request.time_left = milliseconds(1190);
  request.flush_after = milliseconds(27);
  request.legs = {{3, "shard-3"}, {9, "shard-9"}};
  return request;
}

template <typename Message>
Message Repeated(const Message& message) {
  const std::string bytes = EncodeRelayMessage(message);
  CHECK(IsRelayMessage(bytes));
  const auto decoded = DecodeRelayMessage(bytes);
  REQUIRE(decoded.has_value());
  REQUIRE(std::holds_alternative<Message>(*decoded));
  return std::get<Message>(*decoded);
}

}  // namespace

TEST_CASE("relay messages are decoded as they were encoded", "[relay]") {
  const relay_request request = Repeated(Request());
  CHECK(request.id == 7);
  CHECK(request.route == "search");
  CHECK(request.request.id == "a1");
  CHECK(request.request.method == "GET");
  CHECK(request.request.upstream_head == Request().request.upstream_head);
  CHECK(request.request.body == Request().request.body);
  CHECK(request.top_records == 50);
  CHECK(request.time_left == milliseconds(1190));
  CHECK(request.flush_after == milliseconds(27));
  REQUIRE(request.legs.size() == 2);
  CHECK(request.legs[1].number == 9);
  CHECK(request.legs[1].service == "shard-9");
  const relay_reply reply =
      Repeated(relay_reply{7,
                           {{3, "sig\xff", milliseconds(12)}},
                           std::string(32, '\xee'),
                           {{9, attempt_end::kNotRun}},
                           {{"i-9", 1700000000000, true, milliseconds(2500)}},
                           true});
  CHECK(reply.id == 7);
  REQUIRE(reply.parts.size() == 1);
  CHECK(reply.parts[0].number == 3);
  CHECK(reply.parts[0].signature == "sig\xff");
  CHECK(reply.parts[0].latency == milliseconds(12));
  CHECK(reply.records == std::string(32, '\xee'));
  REQUIRE(reply.ends.size() == 1);
  CHECK(reply.ends[0].end == attempt_end::kNotRun);
  CHECK(reply.stopping);
  REQUIRE(reply.notices.size() == 1);
  CHECK(reply.notices[0].upstream == "i-9");
  CHECK(reply.notices[0].start_time_ms == 1700000000000);
  CHECK(reply.notices[0].leaving);
  CHECK(reply.notices[0].retry_after == milliseconds(2500));
  CHECK(Repeated(relay_cancel{7, {3, 9}}).numbers ==
        std::vector<std::uint64_t>{3, 9});
}

// Guards against an end of the process by what another process sends.
TEST_CASE("malformed relay messages are rejected", "[relay]") {
  const std::string bytes = EncodeRelayMessage(Request());
  for (std::size_t size = 0; size < bytes.size(); ++size)
    CHECK_FALSE(DecodeRelayMessage(bytes.substr(0, size)).has_value());
  for (std::size_t i = 0; i < bytes.size(); ++i) {
    for (const int value : {0x00, 0x1b, 0x3b, 0x7f, 0x9f, 0xff}) {
      std::string changed = bytes;
      changed[i] = static_cast<char>(value);
      DecodeRelayMessage(changed);
    }
  }
  relay_request late = Request();
  late.time_left = milliseconds(-1);
  CHECK_FALSE(DecodeRelayMessage(EncodeRelayMessage(late)).has_value());
  late.time_left = std::chrono::hours(1000);
  CHECK_FALSE(DecodeRelayMessage(EncodeRelayMessage(late)).has_value());
  relay_request many = Request();
  many.legs.assign(5000, {1, "s"});
  CHECK_FALSE(DecodeRelayMessage(EncodeRelayMessage(many)).has_value());
}

TEST_CASE("relay messages and mirror messages are told apart", "[relay]") {
  for (const mirror_message& each :
       {mirror_message(mirror_subscription()), mirror_message(mirror_page()),
        mirror_message(source_report()), mirror_message(fleet_report())}) {
    const std::string bytes = EncodeMirrorMessage(each);
    CHECK_FALSE(IsRelayMessage(bytes));
    CHECK_FALSE(DecodeRelayMessage(bytes).has_value());
  }
  CHECK_FALSE(
      DecodeMirrorMessage(EncodeRelayMessage(relay_cancel())).has_value());
  CHECK_FALSE(IsRelayMessage(""));
}

}  // namespace papayaglade
