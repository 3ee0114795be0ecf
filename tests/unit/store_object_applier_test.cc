#include <catch2/catch.hpp>
#include <functional>
#include <string>
#include <vector>

#include "applied_instance.h"

namespace papayaglade {

namespace {

using nlohmann::json;

const json& GoodContent() {
  static const json content = json::parse(
      R"({"service":"shard-1","address":"10.128.0.9:8080","zone":"kigali-a",
          "version":"v1","max_concurrency":3,"state":"ready",
          "warmup_left_ms":0,"sequence":4,"born":1700000000000})");
  return content;
}

stored_object Good(const std::string& name) {
  return {name, false, GoodContent()};
}

stored_object BadPort(const std::string& name) {
  json content = GoodContent();
  content["address"] = "10.128.0.9:70000";
  return {name, false, content};
}

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

}  // namespace

TEST_CASE("an unreadable entry is logged once with its reason and remedy",
          "[store][foreign]") {
  applied_instance instance;
  stored_object deep{"i-odd", false, nullptr, "nested deeper than 64 levels"};
  for (const stored_object& odd : {BadPort("i-odd"), deep}) {
    const std::uint64_t before = instance.applier.UnreadableCount();
    const auto lines =
        instance.Apply(stored_kind::kUpstreams, {Good("i-1"), odd});
    REQUIRE(lines.size() == 2);
    CHECK(Contains(lines[0], "event=upstream_changed upstream=i-1"));
    CHECK(Contains(lines[1], "event=upstream_unreadable name=i-odd at="));
    CHECK(Contains(lines[1], " why="));
    CHECK(Contains(lines[1], " remedy="));
    CHECK(instance.applier.UnreadableCount() == before + 1);
  }
  CHECK(instance.directory.Size() == 1);
}

// Guards against requests to an upstream whose entry another writer has
// replaced by one that names no upstream.
TEST_CASE("an unreadable entry replaces the earlier one of its name",
          "[store][foreign]") {
  applied_instance instance;
  instance.Apply(stored_kind::kUpstreams, {Good("i-1"), Good("i-2")});
  const std::string service = "shard-1";
  const auto is_in_use = [&](const std::string& id) {
    const monotonic_time now = loop_context::Now();
    const auto upstream = instance.directory.NextUpstreamIn("kigali-a", now);
    const auto other = instance.directory.NextUpstreamIn("kigali-a", now);
    for (const auto& each : {upstream, other}) {
      if (each != nullptr && each->record.id == id &&
          !each->usable_until.has_value()) {
        return true;
      }
    }
    return false;
  };
  REQUIRE(is_in_use("i-1"));
  instance.Apply(stored_kind::kUpstreams, {BadPort("i-1")});
  CHECK_FALSE(is_in_use("i-1"));
  CHECK(is_in_use("i-2"));
}

TEST_CASE("many unreadable entries do not crowd out other log lines",
          "[store][foreign]") {
  constexpr std::size_t kMaxLines = 30;
  applied_instance instance;
  std::vector<stored_object> objects;
  objects.reserve(501);
  for (int i = 0; i < 500; ++i) {
    objects.push_back(BadPort("i-" + std::to_string(i)));
  }
  objects.push_back(BadPort(std::string(512, 'x')));
  CHECK(instance.Apply(stored_kind::kUpstreams, objects).size() <= kMaxLines);
  CHECK(instance.applier.UnreadableCount() == 501);
  objects = {BadPort(std::string(512, 'x'))};
  const auto lines = instance.Apply(stored_kind::kUpstreams, objects);
  REQUIRE(lines.size() == 1);
  CHECK(lines[0].size() < 400);
}

TEST_CASE("an unreadable configuration is refused with its reason",
          "[store][foreign]") {
  applied_instance instance;
  const auto lines =
      instance.Apply(stored_kind::kConfiguration,
                     {{"main", false, nullptr, "a number is too large"}});
  REQUIRE(lines.size() == 1);
  CHECK(Contains(lines[0], "event=configuration_refused"));
  CHECK(Contains(lines[0], "why=a_number_is_too_large"));
  CHECK(instance.applier.UnreadableCount() == 1);
}

}  // namespace papayaglade
