#include "protocol/entry_settings_codec.h"

#include <catch2/catch.hpp>

namespace papayaglade {

namespace {

const char kSettings[] = R"({
  "name": "front-1", "data_centre": "kigali-a", "region": "kigali",
  "callers": "10.1.0.9:8104", "readiness": "10.1.0.9:8108",
  "control": "10.1.0.9:8106", "metrics": "10.1.0.9:9464",
  "store": "10.200.1.7:8102", "seeds": ["10.1.0.9:8106"],
  "descriptors": 4100, "memory_mb": 260,
  "repeats": {"ratio": 0.2, "extra": 54, "window_s": 10},
  "warmup": {"overshoot": 1.5, "slack": 5},
  "bounds": {"drain_ms": 3100, "shutdown_s": 6, "configuration_ms": 2500,
             "data_centre_out_ms": 4500}
})";

}  // namespace

TEST_CASE("the settings of an entry instance are parsed", "[settings]") {
  fault_list faults;
  const entry_settings settings = ParseEntrySettings("file", kSettings, faults);
  REQUIRE(faults.empty());
  CHECK(settings.callers == endpoint{"10.1.0.9", 8104});
  CHECK(settings.store == endpoint{"10.200.1.7", 8102});
  CHECK(settings.repeats.extra == 54);
  CHECK(settings.memory_bytes == 260'000'000);
  CHECK(settings.bounds.shutdown_timeout == std::chrono::seconds(6));
  CHECK(settings.delays.configuration == std::chrono::milliseconds(2500));
  CHECK(settings.delays.closed_data_centre == std::chrono::milliseconds(4500));
  CHECK(settings.delays.leaving_upstream == std::chrono::milliseconds(3100));
}

TEST_CASE("a machine with little memory is accepted", "[settings]") {
  std::string text = kSettings;
  text.replace(text.find("\"memory_mb\": 260"), 16, "\"memory_mb\": 1");
  fault_list faults;
  CHECK(ParseEntrySettings("file", text, faults).memory_bytes == 1'000'000);
  CHECK(faults.empty());
}

TEST_CASE("every fault in the settings is reported with a remedy",
          "[settings]") {
  std::string text = kSettings;
  text.replace(text.find("10.1.0.9:8104"), 13, "somewhere");
  text.replace(text.find("\"slack\": 5"), 10, "\"slac\": 5");
  fault_list faults;
  ParseEntrySettings("file", text, faults);
  REQUIRE(faults.size() == 2);
  for (const fault& each : faults) {
    CHECK(each.file == "file");
    CHECK_FALSE(each.remedy.empty());
  }
}

TEST_CASE("malformed addresses and ports are rejected", "[settings]") {
  CHECK(ParseEndpoint("10.0.0.1:80") == endpoint{"10.0.0.1", 80});
  for (const char* text :
       {"", ":", "10.0.0.1", "10.0.0.1:", "10.0.0.1:0", "10.0.0.1:65536",
        "10.0.0.1:8x", "host:80", "10.0.0.256:80", "10.0.0.1:-1"}) {
    INFO(text);
    CHECK_FALSE(ParseEndpoint(text).has_value());
  }
}

// Guards against an address that is taken for another one, because the parser
// of addresses ignores what follows a NUL.
TEST_CASE("an address that contains a NUL is rejected", "[settings]") {
  CHECK_FALSE(ParseEndpoint(std::string("10.0.0.1\0:80", 12)).has_value());
  CHECK_FALSE(ParseEndpoint(std::string("10.0.0.1\0x:80", 13)).has_value());
  CHECK_FALSE(ParseEndpoint(std::string("10.0.0.1:80\0", 12)).has_value());
}

}  // namespace papayaglade
