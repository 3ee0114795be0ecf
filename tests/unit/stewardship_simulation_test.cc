#include "stewardship_simulation.h"

#include <catch2/catch.hpp>
#include <cstdlib>
#include <string>

namespace papayaglade {

namespace {

constexpr std::uint64_t kSeeds = 4000;

}  // namespace

TEST_CASE("no fault violates an invariant of stewardship", "[exploration]") {
  const char* chosen = std::getenv("PAPAYAGLADE_SEED");
  const std::uint64_t first = chosen == nullptr ? 1 : std::stoull(chosen);
  const std::uint64_t last = chosen == nullptr ? kSeeds : first;
  for (std::uint64_t seed = first; seed <= last; ++seed) {
    const std::string violation = stewardship_simulation(seed).Run();
    INFO("replay: PAPAYAGLADE_SEED=" << seed
                                     << " build/unit_tests \"[exploration]\"");
    REQUIRE(violation == "");
  }
}

}  // namespace papayaglade
