#include "coordination/data_centre_orders.h"

#include <catch2/catch.hpp>

namespace papayaglade {

namespace {

const monotonic_time kStart{std::chrono::hours(1)};

template <typename Action>
std::optional<Action> Find(const std::vector<order_action>& actions) {
  for (const order_action& each : actions) {
    if (const auto* found = std::get_if<Action>(&each)) return *found;
  }
  return std::nullopt;
}

}  // namespace

TEST_CASE("an order is in force within a second without the platform",
          "[orders]") {
  data_centre_orders orders(1);
  orders.Submit(1, "huye", true, kStart);
  REQUIRE(Find<read_order>(orders.TakeActions()));
  orders.OnTick(kStart + std::chrono::milliseconds(900));
  const auto actions = orders.TakeActions();
  REQUIRE(Find<distribute_order>(actions));
  CHECK(Find<distribute_order>(actions)->order.out);
  CHECK(Find<order_result>(actions)->outcome ==
        order_result::verdict::kDistributed);
  // When the platform is reachable again, the order is written to it.
  orders.OnRead("huye", {platform_status::kUnreachable, 0, std::nullopt},
                kStart + std::chrono::seconds(1));
  orders.OnTick(kStart + std::chrono::seconds(20));
  REQUIRE(Find<read_order>(orders.TakeActions()));
  orders.OnRead("huye", {platform_status::kNotFound, 0, std::nullopt},
                kStart + std::chrono::seconds(20));
  CHECK(Find<write_order>(orders.TakeActions())->order.out);
}

TEST_CASE("out wins over in everywhere when opposite orders are concurrent",
          "[orders]") {
  data_centre_orders one(1);
  data_centre_orders two(2);
  one.Submit(1, "huye", false, kStart);
  two.Submit(1, "huye", true, kStart);
  one.OnTick(kStart + std::chrono::seconds(1));
  two.OnTick(kStart + std::chrono::seconds(1));
  const auto in = Find<distribute_order>(one.TakeActions());
  const auto out = Find<distribute_order>(two.TakeActions());
  REQUIRE(in);
  REQUIRE(out);
  one.OnOrder(out->order, kStart);
  two.OnOrder(in->order, kStart);
  CHECK(Find<distribute_order>(one.TakeActions())->order.out);
  CHECK_FALSE(Find<distribute_order>(two.TakeActions()));
  REQUIRE(one.Overruled().size() == 1);
  CHECK_FALSE(one.Overruled().front().out);
  CHECK(two.Overruled().empty());
}

TEST_CASE(
    "an order that loses a race at the platform is reported as superseded",
    "[orders]") {
  data_centre_orders orders(1);
  orders.Submit(5, "huye", false, kStart);
  orders.OnRead("huye", {platform_status::kNotFound, 0, std::nullopt}, kStart);
  REQUIRE(Find<write_order>(orders.TakeActions()));
  orders.OnWritten(
      "huye",
      {platform_status::kConflict, 1, data_centre_order{"huye", 3, true}},
      kStart);
  const auto result = Find<order_result>(orders.TakeActions());
  REQUIRE(result);
  CHECK(result->outcome == order_result::verdict::kSuperseded);
  CHECK(result->order.out);
}

}  // namespace papayaglade
