#include "protocol/platform_codec.h"

#include <catch2/catch.hpp>
#include <string>

namespace papayaglade {

// Guards against an instance that ends because an object of the platform is
// nested deeper than the stack allows.
TEST_CASE("an object of the platform that is nested too deeply is rejected",
          "[platform_client][foreign]") {
  constexpr std::size_t kDeepLevels = 200'000;
  const std::string deep =
      std::string(kDeepLevels, '[') + std::string(kDeepLevels, ']');
  const auto parse = [](const std::string& value) {
    return ParsePlatformReply(
        platform_get{"roster", "a"}, 200,
        R"({"kind":"roster","name":"a","version":3,"value":)" + value + "}");
  };
  CHECK(parse("[[7]]").status == platform_status::kOk);
  CHECK(parse(deep).status != platform_status::kOk);
  CHECK(parse("1e400").status != platform_status::kOk);
  CHECK(parse("\"\\udce9\"").status != platform_status::kOk);
}

}  // namespace papayaglade
