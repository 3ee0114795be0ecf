#include "coordination/capacity_share.h"

#include <catch2/catch.hpp>
#include <map>
#include <string>

namespace papayaglade {

namespace {

fleet_position Fleet(const std::map<std::string, std::size_t>& centres) {
  fleet_position fleet;
  fleet.instances = 0;
  for (const auto& each : centres) fleet.instances += each.second;
  fleet.by_data_centre = centres;
  return fleet;
}

}  // namespace

// Guards against connections, or requests to a cold upstream, beyond what it
// bears: each instance works its share out alone.
TEST_CASE("the shares of all instances add up to the whole",
          "[directory][load]") {
  for (const std::map<std::string, std::size_t>& centres :
       {std::map<std::string, std::size_t>{{"a", 2}, {"b", 2}, {"c", 2}},
        {{"a", 1}, {"b", 10}},
        {{"a", 3}},
        {{"a", 28}, {"b", 28}, {"c", 27}, {"d", 29}, {"e", 28}},
        {{"a", 1}, {"b", 1}, {"c", 998}}}) {
    const fleet_position fleet = Fleet(centres);
    for (const std::string upstream_in : {"a", "b", "c", "nowhere"}) {
      double sum = 0;
      for (const auto& each : centres) {
        sum += static_cast<double>(each.second) *
               CapacityShare(30, upstream_in, each.first, fleet);
      }
      CAPTURE(upstream_in, fleet.instances);
      CHECK(sum == Approx(30));
    }
  }
}

// Answers to slow upstreams whose requests nearly all come from the instances
// near them: these must not run out of connections while others hold spare
// ones.
TEST_CASE("the instances near an upstream have most of it",
          "[directory][load]") {
  const fleet_position fleet = Fleet({{"a", 2}, {"b", 2}, {"c", 2}});
  const double near = CapacityShare(30, "a", "a", fleet);
  const double far = CapacityShare(30, "a", "b", fleet);
  CHECK(near > 30.0 / 6);
  CHECK(far >= 1);
  CHECK(far < near);
}

TEST_CASE("instances share alike while their data centres are unknown",
          "[directory]") {
  fleet_position fleet;
  fleet.instances = 16;
  CHECK(CapacityShare(32, "a", "a", fleet) == Approx(2));
  CHECK(CapacityShare(32, "a", "b", fleet) == Approx(2));
}

}  // namespace papayaglade
