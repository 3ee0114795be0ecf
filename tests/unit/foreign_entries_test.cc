#include <catch2/catch.hpp>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "platform/platform_store_format.h"
#include "protocol/mirror_codec.h"

namespace papayaglade::platform {

namespace {

constexpr std::size_t kDeepLevels = 200'000;
constexpr std::size_t kValueBytes = 1'048'576;
constexpr auto kKind = stored_kind::kUpstreams;

const char kSpec[] =
    R"("service":"shard-1","address":"10.128.0.9:8080","zone":"kigali-a",)"
    R"("version":"v1","max_concurrency":3,"state":"ready",)"
    R"("warmup_left_ms":250,"sequence":4,"born":1700000000000)";

std::string Deep() {
  return std::string(kDeepLevels, '[') + std::string(kDeepLevels, ']');
}

std::string DeepObjects() {
  std::string text;
  for (std::size_t i = 0; i < kDeepLevels; ++i) text += "{\"a\":";
  return text + "1" + std::string(kDeepLevels, '}');
}

std::string Entry(const std::string& name, const std::string& spec,
                  const std::string& more = "") {
  return R"({"meta":{"name":")" + name + R"(","revision":3},"spec":)" + spec +
         more + "}";
}

std::string Good(const std::string& name) {
  return Entry(name, std::string("{") + kSpec + "}");
}

// Returns a good spec in which the value of `key` is `value`.
std::string SpecWith(const std::string& key, const std::string& value) {
  std::string spec = std::string("{") + kSpec + "}";
  const auto begin = spec.find("\"" + key + "\":");
  if (begin == std::string::npos) {
    return std::string("{") + kSpec + ",\"" + key + "\":" + value + "}";
  }
  const auto from = begin + key.size() + 3;
  const auto end = spec[from] == '"' ? spec.find('"', from + 1) + 1
                                     : spec.find_first_of(",}", from);
  return spec.replace(from, end - from, value);
}

std::string List(const std::vector<std::string>& entries) {
  std::string items;
  for (const std::string& each : entries) {
    if (!items.empty()) items += ",";
    items += each;
  }
  return R"({"items":[)" + items + R"(],"has_more":false,"at":530})";
}

std::string Events(const std::vector<std::string>& entries) {
  std::string events;
  for (const std::string& each : entries) {
    if (!events.empty()) events += ",";
    events += R"({"deleted":false,"object":)" + each + "}";
  }
  return R"({"events":[)" + events + R"(],"at":530})";
}

// Names of the objects of `page` that describe upstreams, after a mirror has
// forwarded them to another instance.
std::vector<std::string> UpstreamNames(const store_page& page) {
  std::vector<std::string> names;
  for (const stored_object& each : page.objects) {
    fault_list faults;
    const stored_object received = ToStoredObject(ToMirroredObject(each));
    const auto record =
        platform_store_format().DecodeUpstream(received, faults);
    if (record.has_value()) {
      names.push_back(each.name);
    } else {
      REQUIRE_FALSE(faults.empty());
      CHECK_FALSE(faults.front().message.empty());
      CHECK_FALSE(faults.front().remedy.empty());
    }
  }
  return names;
}

bool Names(const store_page& page, const std::string& name) {
  for (const stored_object& each : page.objects) {
    if (each.name == name) return true;
  }
  return false;
}

// Checks that `entry` between good ones names no upstream and hides none, in a
// list and in the answer to a watch. With `named`, the page must still hold its
// name, so that it replaces an earlier entry.
void CheckNamesNoUpstream(const std::string& entry, bool named = true) {
  INFO(entry.substr(0, 400));
  const std::vector<std::string> entries = {Good("i-1"), entry, Good("i-2")};
  const std::vector<std::string> expected = {"i-1", "i-2"};
  const platform_store_format store;
  const auto list = store.DecodeList(kKind, List(entries));
  REQUIRE(list.has_value());
  CHECK(list->position.revision == 530);
  CHECK(UpstreamNames(*list) == expected);
  CHECK(Names(*list, "odd") == named);
  const auto events = store.DecodeEvents(kKind, Events(entries));
  REQUIRE(events.has_value());
  CHECK(events->position.revision == 530);
  CHECK(UpstreamNames(*events) == expected);
  CHECK(Names(*events, "odd") == named);
}

}  // namespace

// Guards against processes that end, at each restart again, because one entry
// of the store is nested deeper than the stack allows.
TEST_CASE("an entry nested 200,000 levels deep names no upstream",
          "[store][foreign]") {
  for (const std::string& deep : {Deep(), DeepObjects()}) {
    CheckNamesNoUpstream(Entry("odd", SpecWith("zone", deep)));
    CheckNamesNoUpstream(Entry("odd", SpecWith("extra", deep)));
    CheckNamesNoUpstream(Entry("odd", deep));
    CheckNamesNoUpstream(Entry("odd", "{}", ",\"status\":" + deep));
    CheckNamesNoUpstream(
        Entry("odd", SpecWith("x", "1"), ",\"status\":" + deep));
    CheckNamesNoUpstream(Entry("odd", SpecWith("x", "1"), ",\"new\":" + deep));
    CheckNamesNoUpstream(R"({"meta":{"name":"odd","finalizers":)" + deep +
                         R"(},"spec":)" + SpecWith("x", "1") + "}");
    CheckNamesNoUpstream(deep, false);
  }
}

// Guards against a list that no process can follow any more, because the page
// with one entry that cannot be parsed is discarded as a whole.
TEST_CASE("an entry with a number that is too large hides no other entry",
          "[store][foreign]") {
  for (const char* number : {"1e400", "-1e400", "1e999999999"}) {
    CheckNamesNoUpstream(Entry("odd", SpecWith("warmup_left_ms", number)));
    CheckNamesNoUpstream(Entry("odd", SpecWith("extra", number)));
    CheckNamesNoUpstream(
        Entry("odd", SpecWith("x", "1"), std::string(",\"status\":") + number));
  }
}

// Guards against a list that no process can follow any more, because one entry
// holds text that is not UTF-8.
TEST_CASE("an entry with text that is not UTF-8 hides no other entry",
          "[store][foreign]") {
  for (const char* text :
       {"\"kigali-\xe9\"", "\"kigali-\\udce9\"", "\"\\ud800\"", "\"\\ud800x\"",
        "\"\xc0\x80\"", "\"\xed\xa0\x80\"", "\"\\x\"", "\"\\u12\"",
        "\"a\x01z\"", "\"\xff\xfe\""}) {
    CheckNamesNoUpstream(Entry("odd", SpecWith("zone", text)));
    CheckNamesNoUpstream(Entry("odd", SpecWith("extra", text)));
    CheckNamesNoUpstream(R"({"meta":{"name":)" + std::string(text) +
                             R"(},"spec":)" + SpecWith("x", "1") + "}",
                         false);
  }
}

TEST_CASE("numbers out of range are not narrowed", "[store][foreign]") {
  const std::vector<std::string> integers = {"9223372036854775808",
                                             "18446744073709551615",
                                             "18446744073709551616",
                                             "1180591620717411303424",
                                             "-1",
                                             "-9223372036854775809",
                                             "1e308",
                                             "\"3\"",
                                             "true",
                                             "null",
                                             "{}"};
  for (const char* key : {"max_concurrency", "sequence", "born"}) {
    for (const std::string& each : integers) {
      CheckNamesNoUpstream(Entry("odd", SpecWith(key, each)));
    }
    CheckNamesNoUpstream(Entry("odd", SpecWith(key, "3.5")));
    CheckNamesNoUpstream(Entry("odd", SpecWith(key, "1e2")));
  }
  CheckNamesNoUpstream(Entry("odd", SpecWith("max_concurrency", "0")));
  for (const char* each : {"1e308", "-1", "-0.5", "9223372036854775808",
                           "1180591620717411303424", "\"3\""}) {
    CheckNamesNoUpstream(Entry("odd", SpecWith("warmup_left_ms", each)));
  }
}

TEST_CASE("an address with a port out of range names no upstream",
          "[store][foreign]") {
  for (const char* address : {"10.0.0.9:0",
                              "10.0.0.9:65536",
                              "10.0.0.9:70000",
                              "10.0.0.9:-1",
                              "10.0.0.9:+80",
                              "10.0.0.9:",
                              "10.0.0.9",
                              "10.0.0.9:http",
                              "10.0.0.9:80 ",
                              " 10.0.0.9:80",
                              "10.0.0.9: 80",
                              "10.0.0.9:4294967376",
                              "10.0.0.9:18446744073709551696",
                              "10.0.0.9\\u0000:80",
                              "10.0.0.9:80\\u0000",
                              "host:80",
                              ":80",
                              "::1:80",
                              "256.0.0.1:80",
                              ":",
                              ""}) {
    CheckNamesNoUpstream(
        Entry("odd", SpecWith("address", "\"" + std::string(address) + "\"")));
  }
}

TEST_CASE("entries of other types name no upstream", "[store][foreign]") {
  for (const char* entry :
       {"null", "[]", "\"text\"", "7", "true", "{}", R"({"meta":null})",
        R"({"meta":[]})", R"({"meta":{}})", R"({"meta":{"name":7}})",
        R"({"meta":{"name":null}})", R"({"meta":{"name":""}})",
        R"({"spec":{}})", R"({"meta":{"name":["odd"]},"spec":{}})"}) {
    CheckNamesNoUpstream(entry, false);
  }
  for (const char* spec : {"null", "[]", "\"text\"", "7", "{}"}) {
    CheckNamesNoUpstream(Entry("odd", spec));
  }
  CheckNamesNoUpstream(R"({"meta":{"name":"odd"}})");
  const std::string spec = std::string("{") + kSpec + "}";
  for (const char* name :
       {"odd\\u0000", "odd\\r\\nX: 1", "o d", "odd\\u007f", "odd\\u00e9"}) {
    CheckNamesNoUpstream(Entry(name, spec), false);
  }
  CheckNamesNoUpstream(Entry(std::string(300, 'x'), spec), false);
  CheckNamesNoUpstream(Entry(std::string(100'000, 'x'), spec), false);
}

TEST_CASE("events that hold no object hide no other event",
          "[store][foreign]") {
  const platform_store_format store;
  for (const std::string& odd :
       {std::string("null"), std::string("7"), std::string("{}"),
        std::string(R"({"object":null,"deleted":true})"), Deep(),
        R"({"deleted":)" + Deep() + "}", std::string("\"\\udce9\""),
        std::string(R"({"kind":1e400})")}) {
    INFO(odd.substr(0, 100));
    const auto events = store.DecodeEvents(
        kKind, R"({"events":[{"deleted":false,"object":)" + Good("i-1") + "}," +
                   odd + R"(,{"deleted":true,"object":)" + Good("i-2") +
                   R"(}],"at":533})");
    REQUIRE(events.has_value());
    REQUIRE(events->objects.size() == 2);
    CHECK(events->objects[0].name == "i-1");
    CHECK(events->objects[1].name == "i-2");
    CHECK(events->objects[1].deleted);
  }
}

TEST_CASE("the deletion of an entry that cannot be read holds",
          "[store][foreign]") {
  const auto events = platform_store_format().DecodeEvents(
      kKind, R"({"events":[{"object":{"spec":)" + Deep() +
                 R"(,"meta":{"name":"odd"}},"deleted":true}],"at":533})");
  REQUIRE(events.has_value());
  REQUIRE(events->objects.size() == 1);
  CHECK(events->objects[0].name == "odd");
  CHECK(events->objects[0].deleted);
}

TEST_CASE("a page without a usable revision or list is rejected",
          "[store][foreign]") {
  const platform_store_format store;
  for (const char* at : {"-1", "9223372036854775808", "1180591620717411303424",
                         "1e400", "1.5", "\"7\"", "null", "[]", "{}", "true"}) {
    INFO(at);
    CHECK_FALSE(
        store.DecodeList(kKind, std::string(R"({"items":[],"at":)") + at + "}")
            .has_value());
    CHECK_FALSE(store
                    .DecodeEvents(
                        kKind, std::string(R"({"events":[],"at":)") + at + "}")
                    .has_value());
  }
  for (const std::string& page :
       {std::string(), std::string("null"), std::string(R"({"at":5})"),
        std::string(R"({"items":{},"events":{},"at":5})"),
        std::string(R"({"items":7,"events":"","at":5})"),
        std::string(R"({"items":[)"), std::string(R"({"items":[],"at":5)"),
        std::string(R"({"items":[],"events":[],"at":5}x)"), Deep(),
        std::string(kDeepLevels, '['), std::string(kDeepLevels, '{')}) {
    INFO(page.substr(0, 100));
    CHECK_FALSE(store.DecodeList(kKind, page).has_value());
    CHECK_FALSE(store.DecodeEvents(kKind, page).has_value());
  }
  const auto deep_member = store.DecodeList(
      kKind, R"({"new":)" + Deep() + R"(,"items":[],"at":5 })");
  REQUIRE(deep_member.has_value());
  CHECK(deep_member->position.revision == 5);
}

TEST_CASE("the last of two entries with one name holds", "[store][foreign]") {
  const auto list = platform_store_format().DecodeList(
      kKind, List({Good("odd"), Entry("odd", "7")}));
  REQUIRE(list.has_value());
  REQUIRE(list->objects.size() == 2);
  CHECK(list->objects[1].content == 7);
}

TEST_CASE("an entry as large as the store allows hides no other entry",
          "[store][foreign]") {
  const std::string large(kValueBytes - 1000, 'x');
  CheckNamesNoUpstream(Entry("odd", SpecWith("address", "\"" + large + "\"")));
  const platform_store_format store;
  fault_list faults;
  const auto page = store.DecodeList(
      stored_kind::kConfiguration,
      List({Entry("main", R"({"version":7,"new":")" + large + "\"}")}));
  REQUIRE(page.has_value());
  const auto read = store.DecodeConfiguration(
      ToStoredObject(ToMirroredObject(page->objects.at(0))), faults);
  REQUIRE(read.has_value());
  CHECK(read->version == 7);
}

TEST_CASE("a configuration that cannot be read is rejected with the reason",
          "[store][foreign]") {
  const platform_store_format store;
  const auto page =
      store.DecodeList(stored_kind::kConfiguration,
                       List({Entry("main", R"({"version":)" + Deep() + "}")}));
  REQUIRE(page.has_value());
  fault_list faults;
  CHECK_FALSE(
      store.DecodeConfiguration(page->objects.at(0), faults).has_value());
  REQUIRE(faults.size() == 1);
  CHECK(faults[0].message == "nested deeper than 64 levels");
}

TEST_CASE("a closed data centre and an instance hold whatever they contain",
          "[store][foreign]") {
  const platform_store_format store;
  for (const std::string& spec :
       {Deep(), std::string("\"\\udce9\""), std::string("1e400")}) {
    const std::string page = List({Entry("kigali-a", spec), Good("huye-a")});
    const auto closed = store.DecodeList(stored_kind::kClosedDataCentres, page);
    REQUIRE(closed.has_value());
    CHECK(Names(*closed, "kigali-a"));
    CHECK(Names(*closed, "huye-a"));
    const auto instances = store.DecodeList(stored_kind::kInstances, page);
    REQUIRE(instances.has_value());
    REQUIRE(instances->objects.size() == 2);
    const fleet_member member = DecodeMember(instances->objects[0]);
    CHECK(member.name == "kigali-a");
    CHECK(member.control.port == 0);
  }
}

}  // namespace papayaglade::platform
