#include "coordination/relay_run.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <string>
#include <vector>

#include "coordination/record_merge.h"
#include "request_run_model.h"

namespace papayaglade {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kFlushAfter{20};
constexpr milliseconds kTimeLeft{1000};

class recording_relay_port : public relay_run_port {
 public:
  struct sent_leg {
    std::uint64_t number;
    std::string upstream;
  };

  void Send(std::uint64_t number, const upstream_pointer& upstream,
            milliseconds time_left) override {
    CHECK(time_left <= kTimeLeft);
    sent.push_back({number, upstream->record.id});
  }
  void Abandon(std::uint64_t number) override { abandoned.push_back(number); }
  void Reply(relay_reply reply) override {
    replies.push_back(std::move(reply));
  }

  std::vector<sent_leg> sent;
  std::vector<std::uint64_t> abandoned;
  std::vector<relay_reply> replies;
};

/// A relay of the first three shards, numbered from 1.
struct relayed : deployment {
  relayed() {
    request.id = 5;
    request.top_records = 2;
    request.time_left = kTimeLeft;
    request.flush_after = kFlushAfter;
    for (std::uint64_t i = 0; i < 3; ++i)
      request.legs.push_back({i + 1, "shard-" + std::to_string(i)});
  }

  relay_request request;
  recording_relay_port port;
};

attempt_result PartOf(const std::string& signature, char record) {
  attempt_result result = Part(signature);
  result.reply.body = std::string(kRecordBytes, record);
  return result;
}

}  // namespace

TEST_CASE("a relay returns all answers of its legs together", "[relay]") {
  relayed tier;
  relay_run run(tier.request, tier.directory, tier.port);
  run.Start(kStart);
  REQUIRE(tier.port.sent.size() == 3);
  run.OnResult(1, PartOf("s1", 'a'), kStart + milliseconds(5));
  run.OnResult(2, PartOf("s2", 'c'), kStart + milliseconds(7));
  CHECK(tier.port.replies.empty());
  CHECK(run.NextTimer() == kStart + kFlushAfter);
  run.OnResult(3, PartOf("s3", 'b'), kStart + milliseconds(9));
  REQUIRE(tier.port.replies.size() == 1);
  const relay_reply& reply = tier.port.replies[0];
  CHECK(reply.id == 5);
  REQUIRE(reply.parts.size() == 3);
  CHECK(reply.parts[0].signature == "s1");
  CHECK(reply.parts[2].latency == milliseconds(9));
  CHECK(reply.records ==
        std::string(kRecordBytes, 'c') + std::string(kRecordBytes, 'b'));
  CHECK(run.IsDone());
}

// Answers to a wide fan-out with one upstream that pauses: the answers of the
// others must not wait for it.
TEST_CASE("a relay does not hold answers back for a slow upstream",
          "[relay][load]") {
  relayed tier;
  relay_run run(tier.request, tier.directory, tier.port);
  run.Start(kStart);
  run.OnResult(1, PartOf("s1", 'a'), kStart + milliseconds(5));
  run.OnResult(2, PartOf("s2", 'b'), kStart + milliseconds(6));
  REQUIRE(run.NextTimer() == kStart + kFlushAfter);
  run.OnTimer(kStart + kFlushAfter);
  REQUIRE(tier.port.replies.size() == 1);
  CHECK(tier.port.replies[0].parts.size() == 2);
  CHECK_FALSE(run.IsDone());
  // A late answer is returned at once.
  run.OnResult(3, PartOf("s3", 'c'), kStart + milliseconds(200));
  REQUIRE(tier.port.replies.size() == 2);
  REQUIRE(tier.port.replies[1].parts.size() == 1);
  CHECK(tier.port.replies[1].parts[0].number == 3);
  CHECK(tier.port.replies[1].records == std::string(kRecordBytes, 'c'));
  CHECK(run.IsDone());
}

TEST_CASE("a relay passes on what upstreams say about themselves",
          "[relay][notice]") {
  relayed tier;
  relay_run run(tier.request, tier.directory, tier.port);
  run.Start(kStart);
  attempt_result leaving = PartOf("s1", 'a');
  leaving.notice.leaving = true;
  run.OnResult(1, leaving, kStart + milliseconds(1));
  attempt_result paused = Ended(attempt_end::kNotRun);
  paused.notice.retry_after = seconds(2);
  run.OnResult(2, paused, kStart + milliseconds(2));
  run.OnResult(3, PartOf("s3", 'c'), kStart + milliseconds(3));
  REQUIRE(tier.port.replies.size() == 2);
  const auto& notices = tier.port.replies[0].notices;
  REQUIRE(notices.size() == 2);
  CHECK(notices[0].upstream == "shard-0-0");
  CHECK(notices[0].leaving);
  CHECK(notices[1].upstream == "shard-1-0");
  CHECK(notices[1].retry_after == seconds(2));
  // Each is told once.
  CHECK(tier.port.replies[1].notices.empty());
}

TEST_CASE("a relay reports at once what it cannot send or what fails",
          "[relay]") {
  relayed tier;
  tier.RemoveService("shard-1");
  relay_run run(tier.request, tier.directory, tier.port);
  run.Start(kStart);
  CHECK(tier.port.sent.size() == 2);
  REQUIRE(tier.port.replies.size() == 1);
  REQUIRE(tier.port.replies[0].ends.size() == 1);
  CHECK(tier.port.replies[0].ends[0].number == 2);
  CHECK(tier.port.replies[0].ends[0].end == attempt_end::kNotSent);
  run.OnResult(1, Ended(attempt_end::kNotRun), kStart + milliseconds(1));
  REQUIRE(tier.port.replies.size() == 2);
  REQUIRE(tier.port.replies[1].ends.size() == 1);
  CHECK(tier.port.replies[1].ends[0].end == attempt_end::kNotRun);
  CHECK(tier.port.replies[1].parts.empty());
  // No leg is asked a second time.
  CHECK(tier.port.sent.size() == 2);
}

// A relay that handed on again could send a request in circles.
TEST_CASE("a relay asks upstreams of its own data centre only", "[relay]") {
  relayed tier;
  for (int shard = 0; shard < 3; ++shard) {
    const std::string id = "shard-" + std::to_string(shard) + "-0";
    REQUIRE(tier.directory.All().at(id)->record.data_centre == "kigali");
    if (shard > 0) tier.directory.Erase(id);
  }
  relay_run run(tier.request, tier.directory, tier.port);
  run.Start(kStart);
  REQUIRE(tier.port.sent.size() == 1);
  CHECK(tier.port.sent[0].upstream == "shard-0-0");
  REQUIRE(tier.port.replies.size() == 1);
  CHECK(tier.port.replies[0].ends.size() == 2);
}

TEST_CASE("a relay sends nothing to a closed data centre", "[relay]") {
  relayed tier;
  tier.directory.SetClosedDataCentres({"kigali"});
  relay_run run(tier.request, tier.directory, tier.port);
  run.Start(kStart);
  CHECK(tier.port.sent.empty());
  CHECK(run.IsDone());
}

TEST_CASE("cancelled legs are abandoned and not returned", "[relay]") {
  relayed tier;
  relay_run run(tier.request, tier.directory, tier.port);
  run.Start(kStart);
  run.OnResult(1, PartOf("s1", 'a'), kStart + milliseconds(1));
  run.OnResult(2, PartOf("s2", 'b'), kStart + milliseconds(2));
  // Another upstream has answered for shard 2, and nobody waits for shard 3.
  run.Cancel({2, 3});
  CHECK(tier.port.abandoned == std::vector<std::uint64_t>{3});
  REQUIRE(tier.port.replies.size() == 1);
  REQUIRE(tier.port.replies[0].parts.size() == 1);
  CHECK(tier.port.replies[0].parts[0].number == 1);
  CHECK(tier.port.replies[0].records == std::string(kRecordBytes, 'a'));
  CHECK(run.IsDone());
  run.OnResult(3, PartOf("s3", 'c'), kStart + milliseconds(3));
  CHECK(tier.port.replies.size() == 1);
}

TEST_CASE("a relay ends with the time that it was given", "[relay]") {
  relayed tier;
  relay_run run(tier.request, tier.directory, tier.port);
  run.Start(kStart);
  run.OnTimer(kStart + kFlushAfter);
  CHECK(run.NextTimer() == kStart + kTimeLeft);
  run.OnTimer(kStart + kTimeLeft);
  CHECK(tier.port.abandoned.size() == 3);
  CHECK(run.IsDone());
  CHECK(tier.port.replies.empty());
}

}  // namespace papayaglade
