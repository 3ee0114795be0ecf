#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "coordination/upstream_directory.h"
#include "request_run_model.h"

namespace papayaglade {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const std::string kService = "archive";
const std::vector<std::string> kNone;
const std::vector<std::string> kArchive{"archive-0", "archive-1", "archive-2"};
constexpr std::int64_t kFirstProcess = 1700000000000;

upstream_notice Leaving() {
  upstream_notice notice;
  notice.leaving = true;
  return notice;
}

upstream_notice Pause(milliseconds wait) {
  upstream_notice notice;
  notice.retry_after = wait;
  return notice;
}

upstream_record Record(const std::string& id,
                       std::int64_t process = kFirstProcess) {
  upstream_record record;
  record.id = id;
  record.service = kService;
  record.data_centre = id == "archive-0" ? "kigali" : "huye";
  record.slots = 3;
  record.start_time_ms = process;
  return record;
}

/// The archive service of a deployment, with one instance.
struct archive : deployment {
  archive() {
    directory.SetFleet({1, 0});
    for (const std::string& each : kArchive)
      directory.Update(Record(each), kStart);
    directory.ConfirmList(kStart);
  }

  known_upstream& Known(const std::string& id) {
    return *directory.All().at(id);
  }

  void Notice(const std::string& id, const upstream_notice& notice,
              monotonic_time now) {
    directory.ApplyNotice(Known(id), notice, now);
  }

  std::string Chosen(monotonic_time now,
                     const std::vector<std::string>& excluded = kNone) {
    const auto chosen =
        directory.Choose({&kService, &excluded, milliseconds(50)}, now);
    return chosen == nullptr ? "" : chosen->record.id;
  }

  /// Returns whether `id` is asked where no other upstream can be.
  bool IsAskedAlone(const std::string& id, monotonic_time now) {
    std::vector<std::string> others = kArchive;
    others.erase(std::find(others.begin(), others.end(), id));
    return Chosen(now, others) == id;
  }
};

/// Ends all open attempts as refused, with `notice`, as upstream_client does.
void RefuseAll(archive& tier, request_run& run, recording_port& port,
               const upstream_notice& notice, monotonic_time now) {
  while (!port.open.empty() && !run.IsDone()) {
    const attempt refused = port.open.begin()->second;
    port.open.erase(port.open.begin());
    tier.directory.ApplyNotice(*refused.upstream, notice, now);
    run.OnResult(refused.number, Ended(attempt_end::kNotRun), now);
  }
}

}  // namespace

TEST_CASE("an upstream that says it leaves is asked where no other can be",
          "[notice]") {
  archive tier;
  REQUIRE(tier.Chosen(kStart) == "archive-0");
  tier.Notice("archive-0", Leaving(), kStart);
  CHECK(tier.Chosen(kStart) != "archive-0");
  CHECK(tier.IsAskedAlone("archive-0", kStart));
  SECTION("however slow and failing the others are") {
    for (const char* each : {"archive-1", "archive-2"}) {
      observed_health& health = tier.Known(each).health;
      for (int i = 0; i < 20; ++i) {
        health.RecordFailure(health.BeginAttempt(kStart, seconds(1)), kStart);
        health.RecordLate(health.BeginAttempt(kStart, seconds(1)),
                          milliseconds(1), kStart + seconds(1));
      }
      health.BeginAttempt(kStart, seconds(1));
    }
    const monotonic_time now = kStart + seconds(1);
    CHECK(tier.Chosen(now) != "archive-0");
    CHECK_FALSE(tier.Chosen(now).empty());
  }
  SECTION("however many attempts are pending at the others") {
    const auto preferred =
        tier.directory.ConnectionShare(kService, "huye").preferred;
    for (const char* each : {"archive-1", "archive-2"}) {
      for (std::size_t i = 0; i < preferred; ++i)
        tier.Known(each).health.BeginAttempt(kStart, seconds(1));
    }
    CHECK(tier.Chosen(kStart) != "archive-0");
    CHECK_FALSE(tier.Chosen(kStart).empty());
  }
}

TEST_CASE("an upstream that says it leaves is not asked after its drain time",
          "[notice]") {
  archive tier;
  tier.Notice("archive-0", Leaving(), kStart);
  // Later words do not begin the drain time anew.
  tier.Notice("archive-0", Leaving(), kStart + seconds(1));
  REQUIRE(tier.directory.DrainTime() < shutdown_timeouts().drain_timeout);
  const monotonic_time end = kStart + tier.directory.DrainTime();
  CHECK(tier.IsAskedAlone("archive-0", end - milliseconds(1)));
  CHECK_FALSE(tier.IsAskedAlone("archive-0", end));
  CHECK_FALSE(tier.IsAskedAlone("archive-0", end + std::chrono::hours(24)));
}

TEST_CASE("nothing brings a process back that has said it leaves", "[notice]") {
  archive tier;
  tier.Notice("archive-0", Leaving(), kStart);
  upstream_record changed = Record("archive-0");
  for (int step = 0; step < 300; ++step) {
    const monotonic_time now = kStart + step * milliseconds(100);
    tier.directory.EraseDrained(now);
    // A new revision, a new configuration, a reload, a lapsed entry that is
    // back, another state, another address, and no start time.
    changed.warmup_remaining = milliseconds(step);
    changed.leaving = step % 3 == 1;
    changed.address.port = static_cast<std::uint16_t>(step % 5 == 0 ? 1 : 2);
    changed.start_time_ms = step % 7 == 0 ? 0 : kFirstProcess;
    if (step % 11 == 0) tier.directory.Remove("archive-0", now);
    if (step % 13 == 0) tier.directory.Erase("archive-0");
    tier.directory.Update(changed, now);
    tier.directory.SetConfiguration(tier.configuration);
    tier.directory.SetWarmup(warmup_limits());
    CAPTURE(step);
    const bool drained = now >= kStart + tier.directory.DrainTime();
    if (drained) CHECK_FALSE(tier.IsAskedAlone("archive-0", now));
    CHECK(tier.Chosen(now) != "archive-0");
  }
  SECTION("another process under its id is a new upstream") {
    const monotonic_time now = kStart + seconds(31);
    tier.directory.Update(Record("archive-0", kFirstProcess + 1), now);
    CHECK(tier.Chosen(now) == "archive-0");
  }
}

TEST_CASE("another process under the id is used at once", "[notice]") {
  archive tier;
  tier.Notice("archive-0", Leaving(), kStart);
  tier.Notice("archive-0", Pause(seconds(60)), kStart);
  const upstream_pointer old = tier.directory.All().at("archive-0");
  const monotonic_time now = kStart + milliseconds(100);
  tier.directory.Update(Record("archive-0", kFirstProcess + 1), now);
  CHECK(tier.Chosen(now) == "archive-0");
  // An answer of the old process arrives late.
  tier.directory.ApplyNotice(*old, Leaving(), now);
  tier.directory.ApplyNotice(*old, Pause(seconds(60)), now);
  CHECK(tier.Chosen(now) == "archive-0");
}

// Guards against memory that grows with each upstream that ever left.
TEST_CASE("restrictions of the upstreams that asked first are forgotten",
          "[notice]") {
  upstream_restrictions restrictions;
  const std::size_t count = upstream_restrictions::kCapacity + 10;
  for (std::size_t i = 0; i < count; ++i)
    restrictions.Remember(Record(std::to_string(i)), {kStart, {}});
  CHECK(restrictions.Find(Record("9")) == nullptr);
  CHECK(restrictions.Find(Record("10")) != nullptr);
  CHECK(restrictions.Find(Record(std::to_string(count - 1))) != nullptr);
  // An older process does not replace a later one.
  restrictions.Remember(Record("10", kFirstProcess - 1), {});
  const auto* kept = restrictions.Find(Record("10"));
  REQUIRE(kept != nullptr);
  CHECK(kept->usable_until == kStart);
}

TEST_CASE("an upstream that asks for a pause gets nothing until it is over",
          "[notice]") {
  archive tier;
  constexpr milliseconds kWait{4000};
  tier.Notice("archive-0", Pause(kWait), kStart);
  for (milliseconds age{0}; age < kWait; age += milliseconds(10)) {
    const monotonic_time now = kStart + age;
    // Neither a new entry nor a shorter wish ends the pause.
    if (age == milliseconds(1000)) {
      tier.directory.Erase("archive-0");
      tier.directory.Update(Record("archive-0"), now);
    }
    if (age == milliseconds(2000))
      tier.Notice("archive-0", Pause(milliseconds(100)), now);
    CAPTURE(age.count());
    REQUIRE(tier.Chosen(now) != "archive-0");
    REQUIRE_FALSE(tier.Chosen(now).empty());
    REQUIRE_FALSE(tier.IsAskedAlone("archive-0", now));
    const upstream_pointer known = tier.directory.All().at("archive-0");
    REQUIRE_FALSE(tier.directory.CanRetry(known, now));
    const auto probed = tier.directory.NextUpstreamIn("kigali", now);
    REQUIRE((probed == nullptr || probed->record.id != "archive-0"));
  }
  CHECK(tier.Chosen(kStart + kWait) == "archive-0");
}

TEST_CASE("a pause of no time changes nothing", "[notice]") {
  archive tier;
  tier.Notice("archive-0", Pause(milliseconds(0)), kStart);
  CHECK(tier.Chosen(kStart) == "archive-0");
  CHECK(tier.Known("archive-0").pause.MaxPending() == send_pause::kNoLimit);
}

// Answers to a shortage of the upstream: all instances that it turned away at
// one moment would come back at one moment, with all their requests.
TEST_CASE("the load of many instances returns gradually after a pause",
          "[notice][load]") {
  constexpr seconds kWait{4};
  for (const std::size_t instances : {1, 3, 30, 195, 1000}) {
    std::vector<send_pause> pauses(instances);
    for (std::size_t i = 0; i < instances; ++i)
      pauses[i].Start(kWait, {instances, i}, kStart);
    constexpr milliseconds kStep{100};
    std::size_t returned = 0;
    std::size_t most_in_a_step = 0;
    for (milliseconds age{0}; age < 2 * kWait; age += kStep) {
      std::size_t back = 0;
      for (const send_pause& each : pauses) {
        if (each.Until() <= kStart + age) ++back;
      }
      CAPTURE(instances, age.count());
      if (age < kWait) REQUIRE(back == 0);
      most_in_a_step = std::max(most_in_a_step, back - returned);
      returned = back;
    }
    CHECK(returned == instances);
    CHECK(most_in_a_step <= 1 + instances / 10);
  }
  SECTION("each instance begins with one request") {
    send_pause pause;
    pause.Start(kWait, {1, 0}, kStart);
    const monotonic_time back = pause.Until();
    CHECK(pause.MaxPending() == 1);
    pause.RecordAnswer(kStart);  // It was sent before the pause.
    CHECK(pause.MaxPending() == 1);
    pause.RecordAnswer(back);
    CHECK(pause.MaxPending() == 2);
    pause.RecordAnswer(back);
    CHECK(pause.MaxPending() == 4);
    for (int i = 0; i < 10; ++i) pause.RecordAnswer(back);
    CHECK(pause.MaxPending() == send_pause::kNoLimit);
    pause.Start(kWait, {1, 0}, back);
    CHECK(pause.MaxPending() == 1);
  }
}

TEST_CASE("after a pause one request at a time goes to the upstream",
          "[notice][load]") {
  archive tier;
  tier.Notice("archive-0", Pause(seconds(2)), kStart);
  const monotonic_time now = kStart + seconds(2);
  REQUIRE(tier.IsAskedAlone("archive-0", now));
  known_upstream& known = tier.Known("archive-0");
  const monotonic_time begun = known.health.BeginAttempt(now, seconds(1));
  CHECK_FALSE(tier.IsAskedAlone("archive-0", now));
  CHECK_FALSE(
      tier.directory.CanRetry(tier.directory.All().at("archive-0"), now));
  known.health.RecordAnswer(begun, milliseconds(1), now);
  known.pause.RecordAnswer(begun);
  known.health.BeginAttempt(now, seconds(1));
  CHECK(tier.IsAskedAlone("archive-0", now));
}

TEST_CASE("others take the work of an upstream that asks for a pause",
          "[notice][run]") {
  archive tier;
  recording_port port;
  request_run run = tier.Run("pull", port);
  run.Start(kStart);
  REQUIRE(port.sent.size() == 1);
  REQUIRE(port.sent[0].upstream->record.id == "archive-0");
  port.open.clear();
  tier.Notice("archive-0", Pause(seconds(2)), kStart + milliseconds(1));
  run.OnResult(1, Ended(attempt_end::kNotRun), kStart + milliseconds(1));
  REQUIRE(port.sent.size() == 2);
  CHECK(port.sent[1].upstream->record.id != "archive-0");
  run.OnResult(2, Part("s"), kStart + milliseconds(20));
  REQUIRE(port.answers.size() == 1);
  CHECK(std::holds_alternative<relayed_answer>(port.answers[0]));
}

// Guards against a caller that waits for upstreams which have said that they
// will not take its request.
TEST_CASE("a caller is refused at once if all upstreams ask for a pause",
          "[notice][run]") {
  for (const char* route : {"pull", "pull-once", "book"}) {
    CAPTURE(route);
    archive tier;
    recording_port port;
    request_run run = tier.Run(route, port);
    run.Start(kStart);
    for (const char* each : {"archive-1", "archive-2"})
      tier.Notice(each, Pause(seconds(9)), kStart);
    const monotonic_time now = kStart + milliseconds(1);
    RefuseAll(tier, run, port, Pause(seconds(3)), now);
    REQUIRE(port.answers.size() == 1);
    const auto& refused = std::get<refused_answer>(port.answers[0]);
    CHECK(IsProvenNotRun(refused.cause));
    CHECK(refused.retry_after == seconds(3));
    // The next one costs no upstream anything.
    recording_port next_port;
    request_run next = tier.Run(route, next_port);
    next.Start(kStart + milliseconds(500));
    CHECK(next_port.sent.empty());
    REQUIRE(next_port.answers.size() == 1);
    const auto& next_refused = std::get<refused_answer>(next_port.answers[0]);
    CHECK(IsProvenNotRun(next_refused.cause));
    CHECK(next_refused.retry_after == milliseconds(2501));
  }
}

TEST_CASE("a pause ends hedges and repeats of a fan-out's shard",
          "[notice][run]") {
  archive tier;
  recording_port port;
  request_run run = tier.Run("search", port);
  run.Start(kStart);
  REQUIRE(port.sent.size() == kShards);
  const monotonic_time now = kStart + milliseconds(1);
  // The first shard's upstreams both turn it away.
  for (const char* each : {"shard-0-0", "shard-0-1"})
    tier.directory.ApplyNotice(*tier.directory.All().at(each),
                               Pause(seconds(5)), now);
  const std::uint64_t number = port.sent[0].number;
  port.open.erase(number);
  run.OnResult(number, Ended(attempt_end::kNotRun), now);
  Advance(run, kStart + milliseconds(20));
  AnswerAllExcept(run, port, {0}, kStart + milliseconds(20));
  const auto to_first =
      std::count_if(port.sent.begin(), port.sent.end(),
                    [](const attempt& each) { return each.leg == 0; });
  CHECK(to_first == 1);
  REQUIRE(port.answers.size() == 1);
  const auto* merged = std::get_if<merged_answer>(&port.answers[0]);
  REQUIRE(merged != nullptr);
  CHECK(merged->missing == 1);
}

// Guards against a time that only the worst shard sets, although the request
// could do without it.
TEST_CASE("a refused fan-out may return once enough of its shards can be asked",
          "[notice][run]") {
  archive tier;
  // 18 of 20 shards are needed. Shard 0 is paused for longest.
  for (std::size_t shard = 0; shard < 4; ++shard) {
    for (const char* replica : {"-0", "-1"}) {
      const std::string id = "shard-" + std::to_string(shard) + replica;
      tier.directory.ApplyNotice(*tier.directory.All().at(id),
                                 Pause(seconds(9 - 2 * shard)), kStart);
    }
  }
  recording_port port;
  request_run run = tier.Run("search", port);
  run.Start(kStart);
  CHECK(port.sent.empty());
  REQUIRE(port.answers.size() == 1);
  const auto& refused = std::get<refused_answer>(port.answers[0]);
  CHECK(refused.cause == refusal::kNoUpstream);
  CHECK(refused.retry_after == seconds(5));
}

TEST_CASE("an upstream that has left sets no time to come back",
          "[notice][run]") {
  archive tier;
  tier.Notice("archive-0", Leaving(), kStart);
  for (const char* each : {"archive-1", "archive-2"})
    tier.Notice(each, Pause(seconds(30)), kStart);
  const monotonic_time now = kStart + seconds(10);
  CHECK(tier.directory.TimeUntilUsable(kService, now) == seconds(20));
}

}  // namespace papayaglade
