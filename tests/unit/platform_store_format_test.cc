#include "platform/platform_store_format.h"

#include <catch2/catch.hpp>
#include <random>
#include <string>

namespace papayaglade::platform {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

const char kServer[] =
    R"({"service":"shard-1","address":"10.128.0.9:8080","zone":"kigali-a",
        "version":"v1","max_concurrency":3,"state":"ready",
        "warmup_left_ms":250,"sequence":4,"born":1700000000000})";

const char kConfiguration[] = R"({"version":7,"routes":[
  {"name":"r1","host":"shop.example","path_prefix":"/a/",
   "type":"idempotent","timeout_ms":500,"target_latency_ms":80,"priority":2,
   "fanout_services":["s1","s2"],"max_attempts":2,"top_k":5,
   "min_shard_share":0.75},
  {"name":"r2","host":"shop.example","path_prefix":"/b/",
   "type":"non_idempotent","timeout_ms":5000,"service":"s3",
   "max_attempts":1},
  {"name":"r3","host":"shop.example","path_prefix":"/c/",
   "type":"idempotent","weighted_services":[
     {"service":"s3","weight":3},{"service":"s4","weight":1}]}],
 "services":[{"name":"s1","health_path":"/health","max_connections":31,
   "protocol":"h1","tls":false,"warmup_s":3.0,"warmup_per_s":20.0}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":262144,
   "header_timeout_ms":3000,"idle_timeout_ms":15000}})";

std::optional<upstream_record> Upstream(const json& content) {
  fault_list faults;
  auto record =
      platform_store_format().DecodeUpstream({"i-1", false, content}, faults);
  CHECK(record.has_value() == faults.empty());
  return record;
}

}  // namespace

TEST_CASE("an upstream's entry is decoded", "[store]") {
  const auto record = Upstream(json::parse(kServer));
  REQUIRE(record.has_value());
  CHECK(record->id == "i-1");
  CHECK(record->service == "shard-1");
  CHECK(record->address == endpoint{"10.128.0.9", 8080});
  CHECK(record->data_centre == "kigali-a");
  CHECK(record->slots == 3);
  CHECK_FALSE(record->leaving);
  CHECK(record->warmup_remaining == milliseconds(250));
  CHECK(record->start_time_ms == 1700000000000);
}

TEST_CASE("an invalid entry is not decoded as an upstream", "[store]") {
  const json good = json::parse(kServer);
  for (const char* key :
       {"service", "address", "zone", "max_concurrency", "state", "sequence"}) {
    INFO(key);
    json missing = good;
    missing.erase(key);
    CHECK_FALSE(Upstream(missing).has_value());
    json other_type = good;
    other_type[key] = json::array({1});
    CHECK_FALSE(Upstream(other_type).has_value());
  }
  json unknown_state = good;
  unknown_state["state"] = "resting";
  CHECK_FALSE(Upstream(unknown_state).has_value());
  json bad_address = good;
  bad_address["address"] = "10.0.0.1:99999";
  CHECK_FALSE(Upstream(bad_address).has_value());
  CHECK_FALSE(Upstream(json("text")).has_value());
  CHECK_FALSE(Upstream(json()).has_value());
  // This id would end a header line.
  fault_list faults;
  CHECK_FALSE(platform_store_format()
                  .DecodeUpstream({"i\r\nX: 1", false, good}, faults)
                  .has_value());
}

TEST_CASE("a configuration with all kinds of routes is decoded", "[store]") {
  fault_list faults;
  const auto read = platform_store_format().DecodeConfiguration(
      {"main", false, json::parse(kConfiguration)}, faults);
  REQUIRE(read.has_value());
  CHECK(read->version == 7);
  REQUIRE(read->routes.size() == 3);
  const auto& fanout = std::get<fanout_target>(read->routes[0].target);
  CHECK(fanout.shards == std::vector<std::string>{"s1", "s2"});
  CHECK(fanout.top_records == 5);
  CHECK(fanout.minimum_coverage == 0.75);
  CHECK(read->routes[0].idempotent);
  CHECK(read->routes[0].latency_target == milliseconds(80));
  CHECK_FALSE(read->routes[1].idempotent);
  CHECK(std::get<single_target>(read->routes[1].target).service == "s3");
  const auto& weighted = std::get<weighted_target>(read->routes[2].target);
  CHECK(weighted.services.at(0).weight == 3);
  CHECK(read->services.at("s1").connections == 31);
  CHECK(read->services.at("s1").warmup_requests_per_second == 20);
  CHECK(read->limits.idle_timeout == milliseconds(15000));
}

TEST_CASE("an invalid configuration is rejected with every fault", "[store]") {
  json broken = json::parse(kConfiguration);
  broken["routes"][0]["top_k"] = "five";
  broken["routes"][1].erase("service");
  fault_list faults;
  CHECK_FALSE(platform_store_format()
                  .DecodeConfiguration({"main", false, broken}, faults)
                  .has_value());
  REQUIRE(faults.size() == 2);
  CHECK(faults[0].pointer == "/routes/0/top_k");
  CHECK_FALSE(faults[0].remedy.empty());
}

// Guards against a configuration that the store has accepted and that is not
// put into force for one value, nor any later one that has it too.
TEST_CASE("a configuration is read beyond the limits of this program",
          "[store]") {
  const auto decode = [](const char* pointer, const json& value) {
    json document = json::parse(kConfiguration);
    document[json::json_pointer(pointer)] = value;
    CAPTURE(pointer, value.dump());
    fault_list faults;
    auto read = platform_store_format().DecodeConfiguration(
        {"main", false, document}, faults);
    CHECK(faults.empty());
    REQUIRE(read.has_value());
    return *read;
  };
  SECTION("values above the highest that is supported") {
    CHECK(decode("/limits/max_body_bytes", 1 << 30).limits.body_bytes >=
          std::size_t{64'000'000});
    CHECK(decode("/limits/idle_timeout_ms", 7'200'000).limits.idle_timeout >=
          std::chrono::hours(1));
    CHECK(decode("/routes/0/timeout_ms", 7'200'000).routes[0].timeout >=
          std::chrono::hours(1));
    CHECK(decode("/routes/0/max_attempts", UINT64_MAX).routes[0].max_attempts >=
          1000);
    CHECK(decode("/services/0/max_connections", 1e300)
              .services.at("s1")
              .connections >= 1000);
  }
  SECTION("whole numbers that are written with a fraction") {
    CHECK(decode("/routes/0/max_attempts", 3.0).routes[0].max_attempts == 3);
    CHECK(decode("/routes/0/priority", 1.0).routes[0].priority == 1);
    CHECK(decode("/limits/max_header_bytes", 8192.0).limits.header_bytes ==
          8192);
  }
  SECTION("null in place of a member that may be missing") {
    CHECK(decode("/limits", nullptr).limits.body_bytes ==
          caller_limits().body_bytes);
    CHECK(decode("/limits/max_body_bytes", nullptr).limits.body_bytes ==
          caller_limits().body_bytes);
    CHECK(decode("/routes/0/priority", nullptr).routes[0].priority == 0);
    CHECK(decode("/routes/0/timeout_ms", nullptr).routes[0].timeout ==
          milliseconds(0));
    CHECK_FALSE(decode("/routes/0/type", nullptr).routes[0].idempotent);
    const auto single = decode("/routes/1/fanout_services", nullptr);
    CHECK(std::holds_alternative<single_target>(single.routes[1].target));
    CHECK(decode("/services/0/warmup_s", nullptr).services.at("s1").warmup ==
          milliseconds(0));
  }
}

TEST_CASE("values without a meaning are rejected", "[store]") {
  const auto [pointer, value] = GENERATE(table<const char*, json>({
      {"/version", 7.5},
      {"/version", nullptr},
      {"/routes/0/max_attempts", 0},
      {"/routes/0/max_attempts", 1.5},
      {"/routes/0/max_attempts", "2"},
      {"/routes/0/timeout_ms", -1},
      {"/routes/0/priority", -1},
      {"/routes/1/service", nullptr},
      {"/services/0/max_connections", 0},
      {"/limits/idle_timeout_ms", 0},
      {"/limits", json::array({1})},
  }));
  CAPTURE(pointer, value.dump());
  json document = json::parse(kConfiguration);
  document[json::json_pointer(pointer)] = value;
  fault_list faults;
  CHECK_FALSE(platform_store_format()
                  .DecodeConfiguration({"main", false, document}, faults)
                  .has_value());
  REQUIRE(faults.size() == 1);
  CHECK(faults[0].pointer == pointer);
}

TEST_CASE("lists and events are decoded, malformed ones rejected", "[store]") {
  const platform_store_format store;
  const auto list = store.DecodeList(
      stored_kind::kUpstreams,
      R"({"items":[{"meta":{"name":"a","revision":3},"spec":{"x":1}},
          "garbage",{"meta":{}},{"meta":{"name":"b"}}],
          "has_more":true,"at":530})");
  REQUIRE(list.has_value());
  CHECK(list->position.revision == 530);
  CHECK(list->has_more);
  REQUIRE(list->objects.size() == 2);
  CHECK(list->objects[0].name == "a");
  CHECK(list->objects[0].content["x"] == 1);
  const auto events = store.DecodeEvents(
      stored_kind::kUpstreams,
      R"({"events":[{"deleted":true,"object":{"meta":{"name":"a"}}},7],
          "at":533})");
  REQUIRE(events.has_value());
  REQUIRE(events->objects.size() == 1);
  CHECK(events->objects[0].deleted);
  CHECK_FALSE(store.DecodeList(stored_kind::kUpstreams, "{").has_value());
  CHECK_FALSE(store.DecodeList(stored_kind::kUpstreams, "[]").has_value());
  CHECK_FALSE(store.DecodeEvents(stored_kind::kUpstreams, R"({"events":[]})")
                  .has_value());
  CHECK_FALSE(
      store.DecodeEvents(stored_kind::kUpstreams, R"({"events":[],"at":"x"})")
          .has_value());
}

TEST_CASE("corrupted objects never crash the decoder", "[store]") {
  const std::string good = kConfiguration;
  const platform_store_format store;
  for (std::uint32_t seed = 1; seed <= 2000; ++seed) {
    std::mt19937 random(seed);
    std::string text = good;
    for (int i = 0; i < 3; ++i) {
      text[random() % text.size()] = static_cast<char>(random() % 256);
    }
    const json damaged = json::parse(text, nullptr, false);
    if (damaged.is_discarded()) continue;
    fault_list faults;
    const auto read =
        store.DecodeConfiguration({"main", false, damaged}, faults);
    CHECK(read.has_value() == faults.empty());
  }
}

}  // namespace papayaglade::platform
