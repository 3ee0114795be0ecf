#include "coordination/platform_client.h"

#include <catch2/catch.hpp>
#include <catch2/trompeloeil.hpp>

namespace papayaglade {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using trompeloeil::_;

constexpr std::uint64_t kSeed = 20261204;
constexpr milliseconds kTick{50};

class mock_platform_port : public platform_port {
 public:
  MAKE_MOCK1(CallFromControl, bool(platform_call), override);
  MAKE_MOCK1(CallFromRouter, bool(platform_call), override);
};

class counting_sink : public metrics_sink {
 public:
  void Record(const request_sample& /*sample*/) override {}
  void Add(counter_metric /*metric*/, const std::string& label,
           std::uint64_t count) override {
    counts[label] += count;
  }
  void Set(gauge_metric /*metric*/, const std::string& /*label*/,
           double /*value*/) override {}

  std::map<std::string, std::uint64_t> counts;
};

// A client with a mocked port and one stored object.
struct fixture {
  monotonic_time now{seconds(100)};
  mock_platform_port port;
  counting_sink metrics;
  platform_client client{port, metrics, {}, kSeed};
  std::vector<platform_call> calls;
  std::vector<platform_status> ends;

  void Put(std::uint64_t expected) {
    client.Call(
        platform_put{"roster", "kigali", expected, "mine"},
        [this](const platform_reply& reply) { ends.push_back(reply.status); },
        now);
  }
  void Reply(platform_status status, std::uint64_t version = 0,
             const std::string& value = "") {
    platform_reply reply;
    reply.call_id = calls.back().call_id;
    reply.status = status;
    if (version != 0) {
      reply.objects.push_back({"roster", "kigali", version, value});
    }
    client.OnReply(reply, now);
  }
  void Advance(milliseconds by) {
    for (milliseconds passed{0}; passed < by; passed += kTick) {
      now += kTick;
      client.OnTick(now);
    }
  }
  bool LastIsRead() const {
    return std::holds_alternative<platform_get>(calls.back().operation);
  }
};

}  // namespace

TEST_CASE("the stored object decides the outcome of a lost write",
          "[platform_client]") {
  fixture test;
  ALLOW_CALL(test.port, CallFromControl(_))
      .LR_SIDE_EFFECT(test.calls.push_back(_1))
      .RETURN(true);
  test.Put(4);
  test.Reply(platform_status::kLost);
  CHECK(test.ends.empty());
  test.Advance(seconds(1));
  REQUIRE(test.LastIsRead());
  SECTION("the write took effect") {
    test.Reply(platform_status::kOk, 5, "mine");
    CHECK(test.ends == std::vector{platform_status::kOk});
  }
  SECTION("another writer was first") {
    test.Reply(platform_status::kOk, 5, "theirs");
    CHECK(test.ends == std::vector{platform_status::kConflict});
  }
  SECTION(
      "the write was overwritten or never arrived: reported as a conflict") {
    test.Reply(platform_status::kOk, 6, "theirs");
    CHECK(test.ends == std::vector{platform_status::kConflict});
  }
  SECTION("the write takes effect late, after the read") {
    test.Reply(platform_status::kOk, 4, "old");
    CHECK(test.ends.empty());
    test.Advance(seconds(1));
    CHECK_FALSE(test.LastIsRead());
    // The late first write makes the repeated one fail with a conflict.
    test.Reply(platform_status::kConflict, 5, "mine");
    CHECK(test.ends == std::vector{platform_status::kOk});
  }
  SECTION("the outage continues") {
    for (int i = 0; i < 50 && test.ends.empty(); ++i) {
      test.Reply(platform_status::kUnreachable);
      test.Advance(seconds(3));
    }
    CHECK(test.ends == std::vector{platform_status::kLost});
    CHECK_FALSE(test.client.IsReachable());
  }
}

TEST_CASE("calls keep to the budget and are counted", "[platform_client]") {
  fixture test;
  ALLOW_CALL(test.port, CallFromControl(_))
      .LR_SIDE_EFFECT(test.calls.push_back(_1))
      .RETURN(true);
  int ended = 0;
  for (int i = 0; i < 1000; ++i) {
    test.client.Call(
        platform_list{"roster"}, [&ended](const platform_reply&) { ++ended; },
        test.now);
  }
  test.Advance(seconds(10));
  // A burst of three seconds plus ten seconds, at 5 calls per second.
  CHECK(test.calls.size() >= 64);
  CHECK(test.calls.size() <= 66);
  CHECK(test.client.CallCount() == test.calls.size());
  CHECK(ended >= 1000 - 256 - 66);
  CHECK(test.metrics.counts["lost"] > 0);
}

}  // namespace papayaglade
