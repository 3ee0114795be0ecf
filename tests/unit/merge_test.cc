#include "coordination/merge.h"

#include <catch2/catch.hpp>
#include <limits>

#include "coordination/settle_rule.h"

namespace papayaglade {

TEST_CASE("the best hit of each key is kept, in order of score") {
  const auto merged = MergeHits({{"fee", 1.0, "old"},
                                 {"permit", 2.0, "p"},
                                 {"fee", 3.0, "new"},
                                 {"market", 2.0, "m"}},
                                10);
  REQUIRE(merged.size() == 3);
  CHECK(merged[0].text == "new");
  CHECK(merged[1].key == "market");
}

TEST_CASE("no more hits are kept than the workload asks for") {
  CHECK(MergeHits({{"a", 1, ""}, {"b", 2, ""}}, 1).front().key == "b");
}

TEST_CASE("a score that is not a number ranks last") {
  const double nan = std::numeric_limits<double>::quiet_NaN();
  const auto merged =
      MergeHits({{"a", nan, ""}, {"b", -1.0, ""}, {"c", 5.0, ""}}, 3);
  CHECK(merged[0].key == "c");
  CHECK(merged[2].key == "a");
}

TEST_CASE("a minimum above the settle share raises the share") {
  const monotonic_time start{std::chrono::hours(1)};
  const settle_rule rule({0.5, 0.9, std::chrono::milliseconds(10)}, 1.0, start,
                         start + std::chrono::seconds(1));
  CHECK_FALSE(rule.MaySettle(9, 10, start + std::chrono::milliseconds(50)));
  CHECK_FALSE(rule.CoversMinimum(9, 10));
}

}  // namespace papayaglade
