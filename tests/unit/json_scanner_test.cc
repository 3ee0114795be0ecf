#include "protocol/json_scanner.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <random>
#include <vector>

namespace papayaglade {

namespace {

using nlohmann::json;

constexpr unsigned kSeed = 20261205;

std::size_t DepthOf(const json& value) {
  std::size_t depth = 0;
  if (!value.is_structured()) return depth;
  for (const json& each : value) depth = std::max(depth, DepthOf(each));
  return depth + 1;
}

json RandomValue(std::mt19937& random, int levels) {
  static const std::vector<json> leaves = {nullptr, true,         -7,     2.5,
                                           "",      "a,]}\"[{\\", "\n\t", "é"};
  if (levels == 0 || random() % 3 == 0) return leaves[random() % leaves.size()];
  json value = random() % 2 == 0 ? json::array() : json::object();
  for (std::size_t i = random() % 4; i > 0; --i) {
    const json member = RandomValue(random, levels - 1);
    if (value.is_array()) {
      value.push_back(member);
    } else {
      value["k" + std::to_string(i)] = member;
    }
  }
  return value;
}

}  // namespace

TEST_CASE("the elements of a valid array are split as a parser would",
          "[scanner]") {
  std::mt19937 random(kSeed);
  for (int i = 0; i < 2000; ++i) {
    json array = json::array();
    for (std::size_t n = random() % 5; n > 0; --n) {
      array.push_back(RandomValue(random, 4));
    }
    const std::string text = array.dump(static_cast<int>(random() % 3) - 1);
    INFO(text);
    json_scanner scan(text);
    REQUIRE(scan.Enter('['));
    std::size_t count = 0;
    while (scan.Next()) {
      const json_span span = scan.Value();
      REQUIRE(count < array.size());
      CHECK(json::parse(span.text) == array[count]);
      CHECK(span.depth == DepthOf(array[count]));
      ++count;
    }
    CHECK(count == array.size());
    CHECK(scan.Finished());
  }
}

TEST_CASE("the members of a valid object are split as a parser would",
          "[scanner]") {
  const std::string text = R"( { "a" : [1,{"b":"]}"}] , "c\"d":"x" ,"e":{} } )";
  json_scanner scan(text);
  REQUIRE(scan.Enter('{'));
  REQUIRE(scan.Next());
  CHECK(scan.Key() == "a");
  CHECK(scan.Value().text == R"([1,{"b":"]}"}])");
  REQUIRE(scan.Next());
  CHECK(scan.Key() == R"(c\"d)");
  CHECK(json::parse(scan.Value().text) == "x");
  REQUIRE(scan.Next());
  CHECK(scan.Key() == "e");
  CHECK(scan.Value().text == "{}");
  CHECK_FALSE(scan.Next());
  CHECK(scan.Finished());
}

TEST_CASE("malformed text never finishes and never crashes the scanner",
          "[scanner]") {
  std::mt19937 random(kSeed);
  const std::string characters = "[]{},:\"\\ a1";
  for (int i = 0; i < 20000; ++i) {
    std::string text(1 + random() % 12, ' ');
    for (char& each : text) each = characters[random() % characters.size()];
    text.insert(0, "{");
    json_scanner scan(text);
    REQUIRE(scan.Enter('{'));
    std::size_t steps = 0;
    while (scan.Next()) {
      scan.Key();
      scan.Value();
      REQUIRE(++steps < text.size());
    }
    if (json::accept(text)) CHECK(scan.Finished());
  }
  for (const char* text : {"", " ", "[", "[1", "[1,", "[1,]", "[,1]", "[\"a]",
                           "[[]", "[\"\\", "[1}", "[1]]"}) {
    INFO(text);
    json_scanner scan(text);
    const bool entered = scan.Enter('[');
    while (scan.Next()) scan.Value();
    CHECK_FALSE((entered && scan.Finished()));
  }
}

}  // namespace papayaglade
