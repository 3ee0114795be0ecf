#include "coordination/store_era.h"

#include <boost/beast/http/fields.hpp>
#include <catch2/catch.hpp>
#include <string>
#include <utility>
#include <vector>

#include "platform/platform_store_format.h"

namespace papayaglade {

namespace {

std::int64_t EraOf(const std::string& value) {
  upstream_message answer;
  answer.set("store-era", value);
  return platform::platform_store_format().DecodeEra(answer);
}

}  // namespace

TEST_CASE("positions are ordered by era, then by revision", "[era]") {
  CHECK(store_position(2, 10) < store_position(3, 1));
  CHECK(store_position(2, 10) < store_position(2, 11));
  CHECK(store_position() < store_position(0, 0));
  CHECK(store_position(2, 10) <= store_position(2, 10));
  CHECK(store_position(3, 1) > store_position(2, 10));
  CHECK(store_position(3, 1) >= store_position(3, 1));
  CHECK(store_position(2, 1) != store_position(3, 1));
}

TEST_CASE("an era is never followed by an older one", "[era]") {
  store_era era;
  std::vector<std::pair<std::int64_t, std::int64_t>> changes;
  era.Subscribe([&](std::int64_t before, std::int64_t now) {
    changes.emplace_back(before, now);
  });
  CHECK(era.Observe(kNoEra) == era_relation::kCurrent);
  CHECK(era.Observe(4) == era_relation::kNewer);
  CHECK(era.Observe(4) == era_relation::kCurrent);
  CHECK(era.Observe(6) == era_relation::kNewer);
  CHECK(era.Observe(5) == era_relation::kOlder);
  CHECK(era.Observe(kNoEra) == era_relation::kCurrent);
  CHECK(era.Known() == 6);
  CHECK(era.ChangeCount() == 1);
  CHECK(era.OlderCount() == 1);
  CHECK(changes == std::vector<std::pair<std::int64_t, std::int64_t>>{
                       {kNoEra, 4}, {4, 6}});
}

TEST_CASE("the era of an answer is read, unless it is no number", "[era]") {
  CHECK(platform::platform_store_format().DecodeEra({}) == kNoEra);
  CHECK(EraOf("0") == 0);
  CHECK(EraOf("17") == 17);
  CHECK(EraOf("9223372036854775807") == INT64_MAX);
  for (const char* odd : {"", "x", "-1", "+1", "1.5", "1 2", "0x1",
                          "9223372036854775808", "99999999999999999999"}) {
    INFO(odd);
    CHECK(EraOf(odd) == kNoEra);
  }
}

}  // namespace papayaglade
