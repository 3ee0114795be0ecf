#include "protocol/mirror_codec.h"

#include <catch2/catch.hpp>
#include <cmath>
#include <random>

namespace papayaglade {

namespace {

using std::chrono::seconds;

constexpr unsigned kSeed = 20261204;
constexpr int kMutations = 20000;

mirror_page ExamplePage() {
  return {stored_kind::kUpstreams,
          page_content::kDifference,
          {4, 7},
          {4, INT64_MAX},
          UINT64_MAX,
          {{"i-1", false, std::string("\x00\xff", 2)}, {"i-2", true, ""}}};
}

template <typename Message>
Message RoundTrip(const Message& message) {
  const auto decoded = DecodeMirrorMessage(EncodeMirrorMessage(message));
  REQUIRE(decoded.has_value());
  return std::get<Message>(*decoded);
}

}  // namespace

TEST_CASE("mirror messages are unchanged after encoding and decoding",
          "[mirror]") {
  const auto page = RoundTrip(ExamplePage());
  CHECK(page.kind == stored_kind::kUpstreams);
  CHECK(page.content == page_content::kDifference);
  CHECK(page.base == UINT64_MAX);
  CHECK(page.from == store_position(4, 7));
  CHECK(page.to == store_position(4, INT64_MAX));
  REQUIRE(page.objects.size() == 2);
  CHECK(page.objects[0].document == std::string("\x00\xff", 2));
  CHECK(page.objects[1].deleted);
  const auto subscription = RoundTrip(mirror_subscription{
      "a", {{stored_kind::kClosedDataCentres, {4, 12}, 5}}});
  CHECK(subscription.instance == "a");
  CHECK(subscription.positions.at(0).at == store_position(4, 12));
  CHECK(subscription.positions.at(0).digest == 5);
  const auto mixed =
      RoundTrip(mirror_subscription{"a",
                                    {{stored_kind::kUpstreams, {4, 12}, 5},
                                     {stored_kind::kConfiguration, {5, 3}, 6}},
                                    6});
  CHECK(mixed.era == 6);
  CHECK(mixed.positions.at(0).at == store_position(4, 12));
  CHECK(mixed.positions.at(1).at == store_position(5, 3));
  const auto report = RoundTrip(source_report{source_state::kLost, {}});
  CHECK(report.era == kNoEra);
  CHECK(report.state == source_state::kLost);
  CHECK_FALSE(report.upstreams_confirmed_age.has_value());
  CHECK_FALSE(report.store_unavailable);
  const auto aged =
      RoundTrip(source_report{source_state::kLost, {}, seconds(3), true});
  CHECK(aged.upstreams_confirmed_age == seconds(3));
  CHECK(aged.store_unavailable);
  mirror_page aged_page = ExamplePage();
  CHECK_FALSE(RoundTrip(aged_page).confirmed_age.has_value());
  aged_page.confirmed_age = seconds(0);
  CHECK(RoundTrip(aged_page).confirmed_age == seconds(0));
  const auto fleet = RoundTrip(fleet_report{
      {{"a", "kigali", {"10.0.0.1", 80}, 0.5}, {"b", "huye", endpoint(), 0}}});
  CHECK(fleet.members.at(0).control == endpoint{"10.0.0.1", 80});
  CHECK(fleet.members.at(0).cores == 0.5);
  CHECK(fleet.members.at(1).control.port == 0);
}

// At the cluster size planned for two years from now, a source with 103
// followers sends 258 reports per second. The limit of 60 B per report keeps
// them within the 19 KB/s that control traffic may use there.
TEST_CASE("a source report takes at most 60 bytes", "[mirror]") {
  const source_report report{
      source_state::kWatching,
      {{stored_kind::kConfiguration, {99, 1'000'000}, UINT64_MAX},
       {stored_kind::kUpstreams, {99, 1'000'000}, UINT64_MAX},
       {stored_kind::kClosedDataCentres, {99, 1'000'000}, UINT64_MAX}},
      std::chrono::seconds(60),
      true,
      99};
  const std::size_t size = EncodeMirrorMessage(report).size();
  INFO(size);
  CHECK(size <= 60);
}

TEST_CASE("a stored object is unchanged after mirroring", "[mirror]") {
  const stored_object object{
      "i-1", false, nlohmann::json::parse(R"({"a":[1,-2.5,"x",null,true]})")};
  CHECK(ToStoredObject(ToMirroredObject(object)).content == object.content);
  CHECK(ToStoredObject({"i-1", false, "\xff\xff"}).content.is_null());
  CHECK(ToStoredObject(ToMirroredObject({"i-1", true, nullptr})).deleted);
}

TEST_CASE("an instance's entry is decoded, an older or foreign one partially",
          "[mirror]") {
  const fleet_member self{"a", "kigali", {"10.0.0.1", 8106}, 0.25};
  const fleet_member read = DecodeMember(EncodeMember(self));
  CHECK(read.data_centre == "kigali");
  CHECK(read.control == self.control);
  CHECK(read.cores == 0.25);
  const fleet_member older =
      DecodeMember({"b", false, {{"data_centre", "huye"}}});
  CHECK(older.data_centre == "huye");
  CHECK(older.control.port == 0);
  CHECK(DecodeMember({"c", false, "text"}).control.port == 0);
  CHECK(DecodeMember({"c", false, {{"control", 7}}}).control.port == 0);
}

// Guards against an instance that ends because another one forwards a document
// or sends a message that is nested deeper than the stack allows.
TEST_CASE("CBOR that is nested too deeply is rejected", "[mirror][foreign]") {
  constexpr std::size_t kLevels = 3'000'000;
  const auto repeat = [](const std::string& text) {
    std::string bytes;
    bytes.reserve(kLevels * text.size());
    for (std::size_t i = 0; i < kLevels; ++i) bytes += text;
    return bytes;
  };
  // Arrays and maps of definite and indefinite length, and text and bytes of
  // indefinite length, of which each part may be of indefinite length too.
  for (const std::string& text :
       {std::string("\x81"), std::string("\x98\x01"), std::string("\x9f"),
        std::string("\xa1\x61\x61"), std::string("\xbf\x61\x61"),
        std::string("\x7f"), std::string("\x5f"),
        std::string("\x9b\x00\x00\x00\x00\x00\x00\x00\x01", 9),
        std::string("\x82\x01"), std::string("\x9f\x80")}) {
    const std::string bytes = repeat(text);
    CHECK_FALSE(DecodeMirrorMessage(bytes).has_value());
    CHECK_FALSE(DecodeMirrorMessage("\x82\x01" + bytes).has_value());
    CHECK(ToStoredObject({"i-1", false, bytes}).content.is_null());
    CHECK(ToStoredObject({"i-1", false, "\x81" + bytes}).content.is_null());
  }
}

TEST_CASE("CBOR with impossible lengths is rejected", "[mirror][foreign]") {
  const std::string length = "\xff\xff\xff\xff\xff\xff\xff\xff";
  const std::string half = "\x7f\xff\xff\xff\xff\xff\xff\xff";
  for (const char* head : {"\x5b", "\x7b", "\x9b", "\xbb", "\xdb"}) {
    CHECK_FALSE(DecodeMirrorMessage(head + length).has_value());
    CHECK(ToStoredObject({"i-1", false, head + length}).content.is_null());
    CHECK(ToStoredObject({"i-1", false, head + half}).content.is_null());
  }
}

TEST_CASE(
    "an object nested as deeply as the store's decoder allows is "
    "unchanged after mirroring",
    "[mirror]") {
  nlohmann::json content = 1;
  for (int i = 0; i < 31; ++i) {
    content = {{"a", nlohmann::json::array({content, "x"})}};
  }
  const stored_object object{"i-1", false, content};
  CHECK(ToStoredObject(ToMirroredObject(object)).content == content);
}

// Guards against revisions that are narrowed to others, after which a copy
// would ignore all changes.
TEST_CASE("numbers out of range in mirror messages are rejected",
          "[mirror][foreign]") {
  using nlohmann::json;
  const auto decodes = [](const json& message) {
    const auto bytes = json::to_cbor(message);
    return DecodeMirrorMessage({bytes.begin(), bytes.end()}).has_value();
  };
  const json objects = json::array();
  CHECK(decodes({1, 1, 0, 5, 9, 7, objects}));
  for (const json& each :
       {json(UINT64_MAX), json(1e300), json(5.5), json("5"), json(nullptr),
        json(true), json(9223372036854775808ULL)}) {
    CHECK_FALSE(decodes({1, 1, 0, each, 9, 7, objects}));
    CHECK_FALSE(decodes({1, 1, 0, 5, each, 7, objects}));
    CHECK_FALSE(decodes({0, "entry-1", {1, each, 7}}));
  }
  for (const json& each : {json(1e300), json(-1), json(5.5), json("5")}) {
    CHECK_FALSE(decodes({1, 1, 0, 5, 9, each, objects}));
    CHECK_FALSE(decodes({0, "entry-1", {1, 5, each}}));
  }
  for (const json& each : {json(4294967297ULL), json(-1), json(1.0)}) {
    CHECK_FALSE(decodes({1, each, 0, 5, 9, 7, objects}));
    CHECK_FALSE(decodes({each, 1, 0, 5, 9, 7, objects}));
  }
}

TEST_CASE("impossible numbers of cores count as unknown", "[mirror][foreign]") {
  for (const double each : {std::nan(""), -1.0, 1e308, HUGE_VAL}) {
    const fleet_member member{"a", "kigali", {"10.0.0.1", 80}, each};
    CHECK(DecodeMember(EncodeMember(member)).cores == 0);
    CHECK(RoundTrip(fleet_report{{member}}).members.at(0).cores == 0);
  }
}

TEST_CASE("corrupted mirror messages never crash the decoder", "[mirror]") {
  std::mt19937 random(kSeed);
  const std::string good = EncodeMirrorMessage(ExamplePage());
  int refused = 0;
  for (int i = 0; i < kMutations; ++i) {
    std::string bytes = good;
    bytes[random() % bytes.size()] = static_cast<char>(random());
    bytes.resize(1 + random() % bytes.size());
    if (!DecodeMirrorMessage(bytes).has_value()) ++refused;
  }
  CHECK(refused > 0);
}

// Guards against a fleet that stops following while it is upgraded.
TEST_CASE("messages of an earlier version have no ages and no eras",
          "[mirror]") {
  const auto encode = [](const nlohmann::json& message) {
    const auto bytes = nlohmann::json::to_cbor(message);
    return std::string(bytes.begin(), bytes.end());
  };
  const auto report =
      DecodeMirrorMessage(encode(nlohmann::json::array({2, 1, {1, 700, 5}})));
  REQUIRE(report.has_value());
  CHECK_FALSE(
      std::get<source_report>(*report).upstreams_confirmed_age.has_value());
  CHECK(std::get<source_report>(*report).era == kNoEra);
  CHECK(std::get<source_report>(*report).positions.at(0).at ==
        store_position(kNoEra, 700));
  const auto page = DecodeMirrorMessage(encode(
      nlohmann::json::array({1, 1, 0, 5, 6, 0, nlohmann::json::array()})));
  REQUIRE(page.has_value());
  CHECK_FALSE(std::get<mirror_page>(*page).confirmed_age.has_value());
  CHECK(std::get<mirror_page>(*page).to == store_position(kNoEra, 6));
  const auto subscription = DecodeMirrorMessage(
      encode(nlohmann::json::array({0, "entry-1", {1, 700, 5}})));
  REQUIRE(subscription.has_value());
  CHECK(std::get<mirror_subscription>(*subscription).era == kNoEra);
}

}  // namespace papayaglade
