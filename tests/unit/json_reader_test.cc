#include "protocol/json_reader.h"

#include <catch2/catch.hpp>
#include <cmath>

#include "protocol/entry_settings_codec.h"

namespace papayaglade {

TEST_CASE("every fault in a document is reported with its JSON pointer") {
  fault_list faults;
  const nlohmann::json document =
      ParseJson(R"({"a/b": 5, "count": 11, "extra": true})", faults);
  json_reader reader(document, "", faults);
  reader.RequiredString("a/b");
  reader.RequiredInteger("count", 1, 10);
  reader.RequiredString("name");
  reader.RejectUnknownMembers();
  REQUIRE(faults.size() == 4);
  CHECK(faults[0].pointer == "/a~1b");
  CHECK(faults[1].pointer == "/count");
  CHECK(faults[2].pointer == "/name");
  CHECK(faults[3].pointer == "/extra");
  for (const fault& each : faults) CHECK_FALSE(each.remedy.empty());
}

TEST_CASE("parsing stops when the nesting is too deep") {
  fault_list faults;
  ParseJson(std::string(100'000, '['), faults);
  REQUIRE(faults.size() == 1);
  CHECK(faults[0].message == "the JSON is nested too deeply");
}

// Guards against an instance that ends because a settings file that is reloaded
// holds a number beyond the range of a double.
TEST_CASE("a number that is too large is reported as a fault", "[foreign]") {
  for (const char* text : {"1e400", "[-1e999]", R"({"cores":1e309})"}) {
    fault_list faults;
    CHECK(ParseJson(text, faults).is_null());
    REQUIRE(faults.size() == 1);
    CHECK(faults[0].message == "a number is too large");
    CHECK_FALSE(faults[0].remedy.empty());
  }
  fault_list faults;
  ParseEntrySettings("entry.json", R"({"cores":1e400})", faults);
  REQUIRE(faults.size() == 1);
  CHECK(faults[0].file == "entry.json");
}

TEST_CASE("a value that is no number is out of every range") {
  fault_list faults;
  const nlohmann::json document = {{"x", std::nan("")}};
  json_reader reader(document, "", faults);
  CHECK(reader.OptionalNumber("x", 5, 0, 10) == 5);
  CHECK(faults.size() == 1);
}

}  // namespace papayaglade
