#include "coordination/connection_pool.h"

#include <catch2/catch.hpp>

namespace papayaglade {

namespace {

using std::chrono::milliseconds;

constexpr monotonic_time kStart{std::chrono::hours(1)};

// Opens connections with ids from `first` on until the pool wants no more.
// Returns the next id.
std::uint64_t OpenConnections(connection_pool& pool, std::uint64_t first,
                              int wanted, monotonic_time now) {
  while (pool.ShouldOpen(wanted, now)) {
    pool.OnOpening(first, now);
    pool.OnOpened(first++, now);
  }
  return first;
}

}  // namespace

TEST_CASE("a pool opens the wanted connections and a spare within its limit",
          "[pool]") {
  connection_pool pool(4, {}, 1);
  OpenConnections(pool, 1, 2, kStart);
  CHECK(pool.CountOpen() == 3);
  OpenConnections(pool, 10, 20, kStart);
  CHECK(pool.CountOpen() == 4);
}

TEST_CASE("a retired connection counts against the limit for a while",
          "[pool]") {
  connection_pool pool(3, {}, 1);
  OpenConnections(pool, 1, 3, kStart);
  pool.Retire(1, kStart);
  OpenConnections(pool, 10, 3, kStart + milliseconds(4000));
  CHECK(pool.CountOpen() == 2);
  CHECK(pool.CountRetired() == 1);
  OpenConnections(pool, 10, 3, kStart + milliseconds(5000));
  CHECK(pool.CountOpen() == 3);
}

TEST_CASE("refusals delay the next attempts with backoff and jitter",
          "[pool]") {
  connection_pool pool(3, {}, 1);
  monotonic_time now = kStart;
  int probes = 0;
  std::uint64_t id = 1;
  for (; now < kStart + milliseconds(10000); now += milliseconds(1)) {
    if (!pool.ShouldOpen(3, now)) continue;
    pool.OnOpening(++id, now);
    pool.OnRefused(id, now);
    ++probes;
  }
  CHECK(probes > 6);
  CHECK(probes < 20);
}

TEST_CASE("work takes a verified connection, a check the one idle longest",
          "[pool]") {
  connection_pool pool(3, {}, 1);
  OpenConnections(pool, 1, 2, kStart);
  pool.Verify(2);
  pool.OnIdle(3, true, kStart + milliseconds(5));
  CHECK(pool.PickForWork()->id == 2);
  pool.OnIdle(1, false, kStart + milliseconds(5));
  CHECK(pool.PickForCheck()->id == 2);
  CHECK_FALSE(pool.FindSurplus(2, kStart + milliseconds(60000)).has_value());
  CHECK(pool.FindSurplus(1, kStart + milliseconds(30000)) == 1);
}

}  // namespace papayaglade
