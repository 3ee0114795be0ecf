#include "protocol/json_reader.h"

#include <catch2/catch.hpp>

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

}  // namespace papayaglade
