#include "protocol/mirror_codec.h"

#include <catch2/catch.hpp>
#include <random>

namespace papayaglade {

namespace {

constexpr unsigned kSeed = 20261204;
constexpr int kMutations = 20000;

mirror_page ExamplePage() {
  return {stored_kind::kUpstreams,
          page_content::kDifference,
          7,
          INT64_MAX,
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
  CHECK(page.from == 7);
  CHECK(page.to == INT64_MAX);
  REQUIRE(page.objects.size() == 2);
  CHECK(page.objects[0].document == std::string("\x00\xff", 2));
  CHECK(page.objects[1].deleted);
  const auto subscription = RoundTrip(
      mirror_subscription{"a", {{stored_kind::kClosedDataCentres, 12, 5}}});
  CHECK(subscription.instance == "a");
  CHECK(subscription.positions.at(0).revision == 12);
  CHECK(subscription.positions.at(0).digest == 5);
  const auto report = RoundTrip(source_report{source_state::kLost, {}});
  CHECK(report.state == source_state::kLost);
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
      {{stored_kind::kConfiguration, 1'000'000, UINT64_MAX},
       {stored_kind::kUpstreams, 1'000'000, UINT64_MAX},
       {stored_kind::kClosedDataCentres, 1'000'000, UINT64_MAX}}};
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

}  // namespace papayaglade
