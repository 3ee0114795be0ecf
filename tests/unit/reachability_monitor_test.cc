#include "coordination/reachability_monitor.h"

#include <catch2/catch.hpp>

namespace papayaglade {

namespace {

using std::chrono::milliseconds;

constexpr monotonic_time kStart{std::chrono::hours(1)};

bool IsUnreachable(const reachability_monitor& monitor,
                   const std::string& data_centre) {
  return monitor.Unreachable().count(data_centre) != 0;
}

}  // namespace

// Guards against sending requests to a data centre that is cut off while every
// request asks upstreams there.
TEST_CASE("a silent data centre is unreachable until the next contact",
          "[paths]") {
  reachability_monitor monitor;
  monitor.OnContact("huye", kStart);
  monitor.OnContact("kigali", kStart + milliseconds(190));
  const std::vector<reachability_monitor::sample> samples{{"huye", 20, 9},
                                                          {"kigali", 20, 9}};
  CHECK_FALSE(monitor.Evaluate(samples, kStart + milliseconds(100)));
  CHECK(monitor.Evaluate(samples, kStart + milliseconds(200)));
  CHECK(IsUnreachable(monitor, "huye"));
  CHECK_FALSE(IsUnreachable(monitor, "kigali"));
  // Nothing is sent there now, so no attempt is overdue.
  CHECK_FALSE(monitor.Evaluate({{"huye", 20, 0}}, kStart + milliseconds(900)));
  CHECK(IsUnreachable(monitor, "huye"));
  monitor.OnContact("huye", kStart + milliseconds(1000));
  CHECK(monitor.Evaluate({{"huye", 20, 0}}, kStart + milliseconds(1010)));
  CHECK_FALSE(IsUnreachable(monitor, "huye"));
}

TEST_CASE("a few silent upstreams, or failures beside answers, are no outage",
          "[paths]") {
  reachability_monitor monitor;
  monitor.OnContact("huye", kStart);
  CHECK_FALSE(monitor.Evaluate({{"huye", 20, 2}}, kStart + milliseconds(500)));
  for (int i = 0; i < 10; ++i) {
    monitor.OnFailure("huye", std::to_string(i));
    monitor.OnContact("huye", kStart + milliseconds(500));
  }
  CHECK_FALSE(monitor.Evaluate({{"huye", 20, 0}}, kStart + milliseconds(900)));
}

TEST_CASE("failed connections to several upstreams make it unreachable",
          "[paths]") {
  reachability_monitor monitor;
  monitor.OnContact("huye", kStart);
  for (const char* each : {"a", "b", "c", "d"}) monitor.OnFailure("huye", each);
  CHECK(monitor.Evaluate({{"huye", 20, 0}}, kStart + milliseconds(500)));
  CHECK(IsUnreachable(monitor, "huye"));
}

TEST_CASE("a data centre without upstreams is not unreachable", "[paths]") {
  reachability_monitor monitor;
  for (const char* each : {"a", "b", "c", "d"}) monitor.OnFailure("huye", each);
  monitor.Evaluate({{"huye", 20, 0}}, kStart);
  monitor.Evaluate({}, kStart + milliseconds(100));
  CHECK(monitor.Unreachable().empty());
}

}  // namespace papayaglade
