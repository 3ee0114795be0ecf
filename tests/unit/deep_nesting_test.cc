#include <catch2/catch.hpp>
#include <string>

#include "protocol/claim_codec.h"
#include "protocol/configuration_codec.h"
#include "protocol/upstream_codec.h"
#include "protocol/upstream_state_codec.h"

namespace papayaglade {

// Guards against the end of the process by a message of an upstream, or an
// object of the platform, that is nested so deeply that reading it exhausts the
// stack.
TEST_CASE("no decoder of serve recurses as deeply as its input nests",
          "[limits]") {
  constexpr std::size_t kLevels = 200'000;
  const std::string deep =
      std::string(kLevels, '[') + std::string(kLevels, ']');
  for (const std::string& text :
       {deep, R"({"phase":)" + deep + "}", R"({"state":)" + deep + "}",
        R"({"ended":)" + deep + "}", R"({"hits":)" + deep + "}"}) {
    CHECK_FALSE(ParseUpstreamState(text).has_value());
    CHECK_FALSE(ParseClaim(text).has_value());
    CHECK_FALSE(ParseHealthReply(200, text).has_value());
    CHECK(ParseUpstreamCancelReply(200, text).empty());
    CHECK_FALSE(ParseRoster("kigali", text).has_value());
    CHECK_FALSE(ParseOrder("kigali", text).has_value());
    for (const int status : {200, 410, 503}) ParseUpstreamReply(status, text);
  }
  CHECK_FALSE(ParseConfiguration(deep).has_value());
  CHECK_FALSE(ParseSnapshots("shop", deep).has_value());
}

}  // namespace papayaglade
