#include "coordination/repeat_budget.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <random>

namespace papayaglade {

namespace {

using std::chrono::milliseconds;

constexpr monotonic_time kStart{std::chrono::hours(1)};

std::size_t CountSince(const std::deque<monotonic_time>& times,
                       monotonic_time since) {
  return static_cast<std::size_t>(
      std::count_if(times.begin(), times.end(),
                    [&](monotonic_time each) { return each >= since; }));
}

}  // namespace

TEST_CASE("a budget without requests allows only its share of the extra",
          "[repeats]") {
  const repeat_limits limits{0.2, 54, std::chrono::seconds(10)};
  repeat_budget budget;
  std::size_t allowed = 0;
  for (int i = 0; i < 100; ++i) {
    if (budget.TrySpend(limits, 7, kStart)) ++allowed;
  }
  CHECK(allowed >= 4);
  CHECK(allowed <= 54 / 7);
}

// Guards against a retry storm when many upstreams fail at once: the load
// arrives in bursts over instances, and every request wants repeats.
TEST_CASE("all instances together stay within the limit in every window",
          "[repeats]") {
  constexpr std::size_t kInstances = 7;
  const repeat_limits limits{0.2, 54, std::chrono::seconds(10)};
  for (std::uint32_t seed = 1; seed <= 30; ++seed) {
    std::mt19937 random(seed);
    std::vector<repeat_budget> budgets(kInstances);
    std::deque<monotonic_time> requests;
    std::deque<monotonic_time> repeats;
    std::size_t over = 0;
    monotonic_time now = kStart;
    for (int i = 0; i < 6000; ++i) {
      const bool burst = (i / 700) % 2 == 0;
      now += milliseconds(random() % (burst ? 8 : 60));
      repeat_budget& budget = budgets[random() % kInstances];
      budget.CountRequest(now);
      requests.push_back(now);
      for (int wanted = 0; wanted < 2; ++wanted) {
        if (budget.TrySpend(limits, kInstances, now)) repeats.push_back(now);
      }
      // The limit counts the larger of the requests in this window and in the
      // two before it. The test counts only this window, which is stricter.
      const auto window = limits.window;
      const std::size_t seen = CountSince(requests, now - window);
      const std::size_t repeated = CountSince(repeats, now - window);
      const double bound =
          limits.ratio * static_cast<double>(seen) + limits.extra;
      if (static_cast<double>(repeated) > bound) ++over;
      while (!requests.empty() && requests.front() < now - window) {
        requests.pop_front();
      }
      while (!repeats.empty() && repeats.front() < now - window) {
        repeats.pop_front();
      }
    }
    INFO("seed " << seed);
    CHECK(over == 0);
  }
}

TEST_CASE("a budget is fully available again after its window", "[repeats]") {
  const repeat_limits limits{0.2, 0, std::chrono::seconds(10)};
  repeat_budget budget;
  for (int i = 0; i < 100; ++i) budget.CountRequest(kStart);
  std::size_t allowed = 0;
  while (budget.TrySpend(limits, 1, kStart)) ++allowed;
  CHECK(allowed >= 15);
  CHECK(allowed <= 20);
  const monotonic_time later = kStart + std::chrono::seconds(11);
  CHECK_FALSE(budget.TrySpend(limits, 1, later));
  for (int i = 0; i < 100; ++i) budget.CountRequest(later);
  CHECK(budget.TrySpend(limits, 1, later));
}

TEST_CASE(
    "the budget is ample until half of it is used or fewer than four are left",
    "[repeats]") {
  const repeat_limits limits{0.2, 200, std::chrono::seconds(10)};
  repeat_budget budget;
  CHECK(budget.IsAmple(limits, 1, kStart));
  int spent = 0;
  while (budget.IsAmple(limits, 1, kStart)) {
    REQUIRE(budget.TrySpend(limits, 1, kStart));
    ++spent;
  }
  CHECK(spent >= 70);
  CHECK(spent <= 100);
  CHECK(budget.TrySpend(limits, 1, kStart));
  repeat_budget small;
  CHECK_FALSE(small.IsAmple(limits, 60, kStart));
  CHECK(small.TrySpend(limits, 60, kStart));
}

}  // namespace papayaglade
