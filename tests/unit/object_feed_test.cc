#include "coordination/object_feed.h"

#include <catch2/catch.hpp>

namespace papayaglade {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kSeed = 20261204;
constexpr milliseconds kTick{50};

struct fixture {
  monotonic_time now{seconds(100)};
  object_feed feed{"configuration", kSeed};

  std::optional<platform_operation> NextWithin(seconds bound) {
    for (const monotonic_time end = now + bound; now < end; now += kTick) {
      auto operation = feed.Next(now);
      if (operation.has_value()) return operation;
    }
    return std::nullopt;
  }
  void Reply(platform_status status, std::uint64_t revision) {
    platform_reply reply;
    reply.status = status;
    reply.revision = revision;
    reply.objects.emplace_back();
    feed.OnReply(reply, now);
  }
  void ExpectList() {
    const auto operation = NextWithin(seconds(5));
    REQUIRE(operation.has_value());
    CHECK(std::holds_alternative<platform_list>(*operation));
  }
  void ExpectWatchAfter(std::uint64_t revision) {
    const auto operation = NextWithin(seconds(1));
    REQUIRE(operation.has_value());
    REQUIRE(std::holds_alternative<platform_watch>(*operation));
    CHECK(std::get<platform_watch>(*operation).after_revision == revision);
  }
};

}  // namespace

TEST_CASE("a watch resumes from its revision", "[object_feed]") {
  fixture test;
  test.feed.SetWatching(true);
  test.ExpectList();
  test.Reply(platform_status::kOk, 7);
  test.ExpectWatchAfter(7);
  test.Reply(platform_status::kOk, 9);
  test.ExpectWatchAfter(9);
  SECTION("a revision too old is followed by a list") {
    test.Reply(platform_status::kGone, 0);
    test.ExpectList();
  }
  SECTION("a platform that returns with a lower revision is listed") {
    test.Reply(platform_status::kOk, 3);
    test.ExpectList();
    test.Reply(platform_status::kOk, 3);
    test.ExpectWatchAfter(3);
  }
  SECTION("a lost answer is followed by a list") {
    test.Reply(platform_status::kLost, 0);
    test.ExpectList();
  }
}

TEST_CASE("an outage of an hour costs few calls", "[object_feed]") {
  fixture test;
  test.feed.SetWatching(true);
  int calls = 0;
  const monotonic_time end = test.now + seconds(3600);
  while (test.now < end) {
    if (!test.NextWithin(seconds(10)).has_value()) break;
    test.Reply(platform_status::kUnreachable, 0);
    ++calls;
  }
  CHECK(calls > 1000);
  CHECK(calls < 2500);
  // The feed resumes within seconds after the platform returns.
  test.ExpectList();
}

TEST_CASE("an instance that does not watch lists at long intervals",
          "[object_feed]") {
  fixture test;
  int calls = 0;
  const monotonic_time end = test.now + seconds(3600);
  while (test.now < end) {
    if (!test.NextWithin(seconds(400)).has_value()) break;
    test.Reply(platform_status::kOk, 1);
    ++calls;
  }
  CHECK(calls >= 20);
  CHECK(calls <= 60);
}

}  // namespace papayaglade
