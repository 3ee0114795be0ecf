#include "protocol/configuration_check.h"

#include <catch2/catch.hpp>
#include <random>

#include "protocol/configuration_codec.h"
#include "protocol/settings_codec.h"

namespace papayaglade {

namespace {

constexpr unsigned kSeed = 20261204;
constexpr int kMutations = 5000;

constexpr char kService[] = R"({
  "service": "shop",
  "upstreams": [{"name": "u1", "data_centre": "kigali",
                 "address": "127.0.0.1", "port": 9001,
                 "slots": 3, "connections": 30}],
  "workloads": [{"name": "counter", "deadline_ms": 100,
                 "coverage": {"minimum": 0.8}}]})";

}  // namespace

TEST_CASE("names used in two files are reported with both files") {
  fault_list faults;
  configuration config;
  config.services.push_back(ParseServiceFile("a.json", kService, faults));
  config.services.push_back(ParseServiceFile("b.json", kService, faults));
  REQUIRE(faults.empty());
  CheckConfiguration(config, {"a.json", "b.json"}, faults);
  REQUIRE(faults.size() == 4);
  for (const fault& each : faults) {
    CHECK(each.file == "b.json");
    CHECK(each.message.find("a.json") != std::string::npos);
  }
}

TEST_CASE("a formatted configuration is parsed back unchanged") {
  fault_list faults;
  configuration config;
  config.version = 7;
  config.services.push_back(ParseServiceFile("a.json", kService, faults));
  const std::string text = FormatConfiguration(config);
  const auto parsed = ParseConfiguration(text);
  REQUIRE(parsed.has_value());
  CHECK(FormatConfiguration(*parsed) == text);
}

TEST_CASE("corrupted service and settings files never crash the parsers") {
  std::mt19937 random(kSeed);
  int faulty = 0;
  for (int i = 0; i < kMutations; ++i) {
    std::string text = kService;
    for (int j = 0; j < 3; ++j) {
      text[random() % text.size()] = static_cast<char>(random());
    }
    fault_list faults;
    ParseServiceFile("a.json", text, faults);
    ParseSettings("a.json", text, faults);
    ParseConfiguration(text);
    ParseRoster("kigali", text);
    if (!faults.empty()) ++faulty;
  }
  CHECK(faulty == kMutations);
}

}  // namespace papayaglade
