#include "protocol/upstream_codec.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <random>

namespace papayaglade {

namespace {

constexpr unsigned kSeed = 20261204;
constexpr int kMutations = 20000;
constexpr char kAnswer[] =
    R"({"other":[{"x":1}],"snapshot":3,"incarnation":"i1",)"
    R"("hits":[["k1",0.5,"t1"],["k2",2,"t2"]]})";

}  // namespace

TEST_CASE("an answer is parsed completely and unknown members are ignored",
          "[codec]") {
  const upstream_reply reply = ParseUpstreamReply(200, kAnswer);
  REQUIRE(reply.code == upstream_reply_code::kAnswered);
  CHECK(reply.snapshot == 3);
  CHECK(reply.incarnation == "i1");
  REQUIRE(reply.hits.size() == 2);
  CHECK(reply.hits[1].key == "k2");
  CHECK(reply.hits[1].score == 2.0);
  CHECK(reply.hits[1].text == "t2");
}

TEST_CASE("a reply with an invalid format is malformed", "[codec]") {
  for (const char* text :
       {"", "[]", "{}", "3", R"({"snapshot":3,"incarnation":"i"})",
        R"({"snapshot":"3","incarnation":"i","hits":[]})",
        R"({"snapshot":3,"incarnation":7,"hits":[]})",
        R"({"snapshot":3,"incarnation":"i","hits":[["k",1]]})",
        R"({"snapshot":3,"incarnation":"i","hits":["k"]})",
        R"({"snapshot":3,"incarnation":"i","hits":[["k",1,"t","u"]]})",
        R"({"snapshot":3,"incarnation":"i","hits":[[["k"],1,"t"]]})",
        R"({"snapshot":3,"incarnation":"i","hits":7})"}) {
    CAPTURE(text);
    CHECK(ParseUpstreamReply(200, text).code ==
          upstream_reply_code::kMalformed);
  }
}

TEST_CASE("corrupted answers never crash the parser", "[codec]") {
  std::mt19937 random(kSeed);
  const std::string good = kAnswer;
  int malformed = 0;
  for (int i = 0; i < kMutations; ++i) {
    std::string text = good;
    text[random() % text.size()] = static_cast<char>(random());
    if (random() % 2 == 0) text.resize(1 + random() % text.size());
    const upstream_reply reply = ParseUpstreamReply(200, text);
    if (reply.code == upstream_reply_code::kMalformed) ++malformed;
  }
  CHECK(malformed > kMutations / 2);
}

TEST_CASE("any text is encoded in a request as valid JSON", "[codec]") {
  for (const std::string& text :
       {std::string("plain"), std::string("a\"b\\c\n\x01"),
        std::string("caf\xc3\xa9"), std::string("\xff\xfe broken")}) {
    upstream_request request{"e-1-2", text, 9, "r", text, {}, true};
    request.time_left = std::chrono::microseconds(-5);
    const http_request message = FormatUpstreamRequest(request);
    const auto body = nlohmann::json::parse(message.body);
    CHECK(body.at("deadline_us") == 0);
    CHECK(body.at("snapshot") == 9);
    const auto query = body.at("query").get<std::string>();
    if (text.find('\xff') == std::string::npos) CHECK(query == text);
  }
}

}  // namespace papayaglade
