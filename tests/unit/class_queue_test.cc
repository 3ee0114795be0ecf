#include "coordination/class_queue.h"

#include <catch2/catch.hpp>
#include <vector>

namespace papayaglade {

namespace {

using std::chrono::milliseconds;

constexpr monotonic_time kStart{std::chrono::hours(1)};

queued_attempt Make(request_class priority, std::uint64_t flow,
                    std::uint64_t attempt_id,
                    monotonic_time deadline = kStart + milliseconds(1000)) {
  auto batch = std::make_shared<shard_batch>();
  batch->priority = priority;
  batch->attempts.push_back({attempt_id, "s", "u"});
  return {batch, 0, deadline, kStart, flow};
}

std::vector<int> ServedByClass(class_queue& queue, int count,
                               monotonic_time now) {
  std::vector<int> served(3);
  for (int i = 0; i < count; ++i) {
    ++served[static_cast<std::size_t>(queue.Pop(now)->batch->priority)];
  }
  return served;
}

}  // namespace

TEST_CASE("counter attempts are preferred and archive attempts do not starve",
          "[queue]") {
  class_queue queue({});
  for (int i = 0; i < 300; ++i) {
    for (const request_class priority :
         {request_class::kCounter, request_class::kFull,
          request_class::kArchive}) {
      queue.Push(Make(priority, 1, 1));
    }
  }
  CHECK(queue.Pop(kStart)->batch->priority == request_class::kCounter);
  const std::vector<int> served = ServedByClass(queue, 200, kStart);
  CHECK(served[0] >= 150);
  CHECK(served[1] > served[2]);
  CHECK(served[2] >= 8);
}

TEST_CASE("a class that has waited long gets more turns", "[queue]") {
  class_queue fresh({});
  class_queue aged({});
  for (int i = 0; i < 200; ++i) {
    for (class_queue* const queue : {&fresh, &aged}) {
      queue->Push(Make(request_class::kCounter, 1, 1));
      queue->Push(Make(request_class::kArchive, 1, 1));
    }
  }
  const auto after = kStart + milliseconds(600);
  CHECK(ServedByClass(aged, 100, after)[2] >
        2 * ServedByClass(fresh, 100, kStart)[2]);
}

TEST_CASE("a flood of one caller neither delays nor drops another", "[queue]") {
  class_queue queue({});
  std::size_t dropped = 0;
  for (std::uint64_t i = 0; i < 2000; ++i) {
    if (queue.Push(Make(request_class::kCounter, 1, i))) ++dropped;
  }
  CHECK(queue.Size() == 512);
  CHECK(dropped == 2000 - 512);
  CHECK(queue.CountAhead(request_class::kCounter, 2) == 1);
  const auto dropped_attempt =
      queue.Push(Make(request_class::kCounter, 2, 9999));
  REQUIRE(dropped_attempt.has_value());
  CHECK(dropped_attempt->flow == 1);
  queue.Pop(kStart);
  CHECK(queue.Pop(kStart)->flow == 2);
}

TEST_CASE("attempts are removed by key or by deadline", "[queue]") {
  class_queue queue({});
  queue.Push(Make(request_class::kFull, 1, 5));
  queue.Push(Make(request_class::kFull, 1, 6, kStart + milliseconds(10)));
  CHECK(queue.Remove({{1, 5}}).empty());
  CHECK(queue.Remove({{0, 4}, {0, 5}}).size() == 1);
  CHECK(queue.TakeExpired(kStart + milliseconds(9)).empty());
  CHECK(queue.TakeExpired(kStart + milliseconds(10)).size() == 1);
  CHECK(queue.Empty());
  CHECK_FALSE(queue.Pop(kStart).has_value());
}

}  // namespace papayaglade
