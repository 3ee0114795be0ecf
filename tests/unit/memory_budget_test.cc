#include "coordination/memory_budget.h"

#include <catch2/catch.hpp>
#include <memory>
#include <utility>

#include "coordination/memory_shares.h"

namespace papayaglade {

TEST_CASE("a budget bounds what all its reservations hold", "[memory]") {
  const auto budget = std::make_shared<memory_budget>(100);
  memory_budget::reservation first(budget);
  CHECK(first.Resize(60));
  {
    memory_budget::reservation second(budget);
    CHECK_FALSE(second.Resize(41));
    CHECK(budget->Reserved() == 60);
    CHECK(second.Resize(40));
    CHECK_FALSE(first.Resize(61));
    CHECK(first.Resize(50));
    CHECK(second.Resize(50));
  }
  CHECK(budget->Reserved() == 50);
  CHECK_FALSE(first.Resize(static_cast<std::size_t>(-1)));
  CHECK(first.Resize(0));
  CHECK(budget->Reserved() == 0);
}

// Guards against the use of a budget that has ended before its reservation.
TEST_CASE("a reservation may outlive the owner of its budget", "[memory]") {
  auto budget = std::make_shared<memory_budget>(100);
  const std::weak_ptr<memory_budget> weak = budget;
  {
    memory_budget::reservation held(std::move(budget));
    CHECK(held.Resize(60));
    CHECK(weak.lock()->Reserved() == 60);
  }
  CHECK(weak.expired());
}

// Guards against the end of the process by its memory: all shares together fit
// beside the program.
TEST_CASE("the shares of callers and answers fit into the machine's memory",
          "[memory]") {
  constexpr std::size_t kMegabyte = 1000 * 1000;
  constexpr std::size_t kProgramMb = 48;
  for (const std::size_t mb : {160, 260, 512}) {
    const memory_shares shares = ShareMemory(mb * kMegabyte);
    // A body stands in memory twice while it is passed on.
    CHECK(2 * shares.requests + shares.unread_answers + shares.answers <=
          (mb - kProgramMb) * kMegabyte);
    CHECK(shares.unread_answers_to_run < shares.unread_answers);
  }
  CHECK(ShareMemory(0).requests > 0);
}

}  // namespace papayaglade
