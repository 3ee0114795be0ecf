#include <algorithm>
#include <catch2/catch.hpp>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "coordination/record_merge.h"
#include "request_run_model.h"

namespace papayaglade {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kAnswered{20};

std::string Record(char value) { return std::string(kRecordBytes, value); }

attempt_result PartOf(const std::string& signature, char record) {
  attempt_result result = Part(signature);
  result.reply.body = Record(record);
  return result;
}

/// Returns the one record of an attempt's part; it names the attempt.
std::string RecordOf(std::uint64_t number) {
  constexpr std::uint64_t kValues = 251;
  std::string record(kRecordBytes, '\0');
  record[0] = static_cast<char>(number % kValues);
  record[1] = static_cast<char>(number / kValues + 1);
  return record;
}

/// Returns the greatest records of these attempts' parts.
std::string RecordsOf(const std::vector<std::uint64_t>& numbers) {
  constexpr std::size_t kTopRecords = 5;
  std::vector<std::string> bodies;
  bodies.reserve(numbers.size());
  for (const std::uint64_t each : numbers) bodies.push_back(RecordOf(each));
  std::vector<const std::string*> parts;
  parts.reserve(bodies.size());
  for (const std::string& each : bodies) parts.push_back(&each);
  return MergeRecords(parts, kTopRecords);
}

const merged_answer& Merged(const recording_port& port) {
  REQUIRE(port.answers.size() == 1);
  REQUIRE(std::holds_alternative<merged_answer>(port.answers[0]));
  return std::get<merged_answer>(port.answers[0]);
}

}  // namespace

TEST_CASE("merged parts and single ones make one answer", "[run][relay]") {
  deployment tier;
  recording_port port;
  request_run run = tier.Run("search", port);
  run.Start(kStart);
  REQUIRE(port.sent.size() == kShards);
  const monotonic_time now = kStart + kAnswered;
  run.OnMergedParts({{1, "m1", {}}, {2, "m2", {}}, {3, "m3", {}}},
                    Record('y') + Record('c'), now);
  CHECK(port.answers.empty());
  for (std::uint64_t number = 4; number <= kShards; ++number)
    run.OnResult(number, PartOf("s" + std::to_string(number), 'a'), now);
  const merged_answer& answer = Merged(port);
  CHECK(answer.missing == 0);
  CHECK(answer.signatures.size() == kShards);
  CHECK(answer.signatures[0] == "m1");
  CHECK(answer.signatures[2] == "m3");
  CHECK(answer.records.substr(0, 2 * kRecordBytes) ==
        Record('y') + Record('c'));
}

// Guards against records of a part that the answer does not name: they cannot
// be taken out of merged ones.
TEST_CASE("merged parts replace what a hedge has answered", "[run][relay]") {
  deployment tier;
  recording_port port;
  request_run run = tier.Run("search", port);
  run.Start(kStart);
  // The hedge of the first leg is faster than the merged parts.
  const milliseconds hedged(100);
  Advance(run, kStart + hedged);
  const auto hedge = std::find_if(
      port.sent.begin(), port.sent.end(),
      [](const attempt& each) { return each.leg == 0 && each.is_repeat; });
  REQUIRE(hedge != port.sent.end());
  const monotonic_time now = kStart + hedged;
  run.OnResult(hedge->number, PartOf("hedge", 'z'), now);
  CHECK(port.abandoned == 1);
  run.OnMergedParts({{1, "m1", {}}, {2, "m2", {}}}, Record('d'), now);
  for (std::uint64_t number = 3; number <= kShards; ++number)
    run.OnResult(number, PartOf("s", 'a'), now);
  const merged_answer& answer = Merged(port);
  CHECK(answer.signatures[0] == "m1");
  CHECK(std::count(answer.signatures.begin(), answer.signatures.end(),
                   "hedge") == 0);
  CHECK(answer.records.find(Record('z')) == std::string::npos);
  CHECK(answer.records.find(Record('d')) == 0);
}

TEST_CASE("merged parts that make no sense are left out", "[run][relay]") {
  deployment tier;
  recording_port port;
  request_run run = tier.Run("search", port);
  run.Start(kStart);
  const monotonic_time now = kStart + kAnswered;
  run.OnMergedParts({{0, "x", {}}}, Record('z'), now);
  run.OnMergedParts({{9999, "x", {}}}, Record('z'), now);
  run.OnMergedParts({{1, "x", {}}, {1, "x", {}}}, Record('z'), now);
  run.OnMergedParts({}, Record('z'), now);
  run.OnMergedParts({{2, "m2", {}}}, Record('b'), now);
  run.OnMergedParts({{2, "again", {}}}, Record('z'), now);
  AnswerAllExcept(run, port, {1}, now);
  const merged_answer& answer = Merged(port);
  CHECK(answer.missing == 0);
  CHECK(answer.signatures[1] == "m2");
  CHECK(answer.records.find(Record('z')) == std::string::npos);
}

TEST_CASE("a leg that was given up is answered by merged parts",
          "[run][relay]") {
  deployment tier;
  recording_port port;
  request_run run = tier.Run("search", port);
  run.Start(kStart);
  const monotonic_time now = kStart + kAnswered;
  // Both upstreams of the first shard fail, and the merged part comes late.
  for (const auto& each : std::vector<attempt>(port.sent)) {
    if (each.leg == 0)
      run.OnResult(each.number, Ended(attempt_end::kBroken), now);
  }
  for (std::size_t i = kShards; i < port.sent.size(); ++i)
    run.OnResult(port.sent[i].number, Ended(attempt_end::kBroken), now);
  run.OnMergedParts({{1, "m1", {}}}, Record('b'), now);
  AnswerAllExcept(run, port, {0}, now);
  const merged_answer& answer = Merged(port);
  CHECK(answer.missing == 0);
  CHECK(answer.signatures[0] == "m1");
}

// Whatever the order of merged parts, single answers, hedges and failures, the
// records are the greatest of exactly the parts that the answer names.
TEST_CASE("an answer has the records of the parts that it names",
          "[run][relay]") {
  constexpr unsigned kSeeds = 300;
  unsigned merged = 0;
  for (unsigned seed = 0; seed < kSeeds; ++seed) {
    std::mt19937 random(seed);
    deployment tier;
    recording_port port;
    request_run run = tier.Run("search", port);
    run.Start(kStart);
    std::vector<std::uint64_t> bundle;
    for (std::uint64_t number = 1; number <= kShards; ++number) {
      if (random() % 2 == 0) bundle.push_back(number);
    }
    monotonic_time now = kStart;
    std::set<std::uint64_t> relayed(bundle.begin(), bundle.end());
    for (int step = 0; step < 400 && port.answers.empty(); ++step) {
      now += milliseconds(random() % 8);
      Advance(run, now);
      if (!bundle.empty() && random() % 12 == 0) {
        const std::size_t count = 1 + random() % bundle.size();
        const std::vector<std::uint64_t> numbers(
            bundle.begin(),
            bundle.begin() + static_cast<std::ptrdiff_t>(count));
        bundle.erase(bundle.begin(),
                     bundle.begin() + static_cast<std::ptrdiff_t>(count));
        std::vector<relay_part> parts;
        parts.reserve(count);
        for (const std::uint64_t number : numbers) {
          port.open.erase(number);
          parts.push_back({number, std::to_string(number), {}});
        }
        run.OnMergedParts(parts, RecordsOf(numbers), now);
        continue;
      }
      std::vector<std::uint64_t> direct;
      for (const auto& each : port.open) {
        if (relayed.count(each.first) == 0) direct.push_back(each.first);
      }
      if (direct.empty()) continue;
      const std::uint64_t number = direct[random() % direct.size()];
      port.open.erase(number);
      if (random() % 6 == 0) {
        run.OnResult(number, Ended(attempt_end::kBroken), now);
        continue;
      }
      attempt_result result = Part(std::to_string(number));
      result.reply.body = RecordOf(number);
      run.OnResult(number, std::move(result), now);
    }
    CAPTURE(seed);
    if (port.answers.empty()) continue;
    const auto* answer = std::get_if<merged_answer>(&port.answers[0]);
    if (answer == nullptr) continue;
    ++merged;
    std::vector<std::uint64_t> named;
    named.reserve(answer->signatures.size());
    for (const std::string& each : answer->signatures)
      named.push_back(std::stoull(each));
    CHECK(answer->records == RecordsOf(named));
    CHECK(answer->signatures.size() + answer->missing == kShards);
  }
  CHECK(merged > kSeeds / 2);
}

namespace {

/// Reports a result of another attempt whenever one is abandoned.
class reentrant_port : public recording_port {
 public:
  void Abandon(std::uint64_t number) override {
    recording_port::Abandon(number);
    if (run == nullptr || open.empty()) return;
    const std::uint64_t other = open.rbegin()->first;
    open.erase(other);
    run->OnResult(other, Ended(attempt_end::kBroken), kStart);
  }

  request_run* run = nullptr;
};

}  // namespace

// Guards against a process that ends because a link that closes while a request
// ends reports the loss of others of its attempts.
TEST_CASE("results that are reported while a request ends change nothing",
          "[run][relay]") {
  deployment tier;
  reentrant_port port;
  request_run run = tier.Run("search", port);
  run.Start(kStart);
  port.run = &run;
  const std::size_t sent = port.sent.size();
  SECTION("the caller leaves") {
    run.Cancel();
    CHECK(port.answers.empty());
  }
  SECTION("the time is up") {
    run.FinishBy(kStart + std::chrono::milliseconds(1));
    run.OnTimer(kStart + std::chrono::milliseconds(1));
    CHECK(port.answers.size() == 1);
  }
  CHECK(port.sent.size() == sent);
  CHECK(run.IsDone());
}

}  // namespace papayaglade
