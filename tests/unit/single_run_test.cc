#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <random>

#include "protocol/claim_codec.h"
#include "tier_model.h"

namespace papayaglade {

namespace {

using std::chrono::microseconds;
using namespace std::chrono_literals;

// The claims stored on the platform.
struct claim_store {
  struct object {
    std::uint64_t version = 0;
    std::string value;
  };

  claim_reply Write(const write_claim& call) {
    claim_reply reply;
    object& stored = objects[call.key];
    reply.version = stored.version;
    if (stored.version != call.expected_version) {
      reply.status = platform_status::kConflict;
      reply.has_value = stored.version > 0;
      if (reply.has_value) reply.value = *ParseClaim(stored.value);
      return reply;
    }
    stored = {stored.version + 1, FormatClaim(call.value)};
    reply.status = platform_status::kOk;
    reply.version = stored.version;
    return reply;
  }

  claim_reply Read(const read_claim& call) const {
    claim_reply reply;
    reply.status = platform_status::kNotFound;
    const auto found = objects.find(call.key);
    if (found == objects.end() || found->second.version == 0) return reply;
    reply.status = platform_status::kOk;
    reply.version = found->second.version;
    reply.has_value = true;
    reply.value = *ParseClaim(found->second.value);
    return reply;
  }

  std::map<std::string, object> objects;
};

// Simulates several entry instances, a platform, and an upstream that counts
// the requests it runs. Answers may get lost and writes may take effect late.
class booking_simulation {
 public:
  explicit booking_simulation(unsigned seed, int instances) : random_(seed) {
    for (int i = 0; i < instances; ++i) {
      engines_.push_back(std::make_unique<query_engine>(
          instance_identity{"entry-" + std::to_string(i), 1}, "a", 64, seed));
      engines_.back()->SetView(MakeView(), now);
    }
  }

  void Ask(std::size_t instance, const std::string& key,
           const std::string& query = "book") {
    caller_request request;
    request.request_id = "r" + std::to_string(asked++);
    request.workload = "booking";
    request.query = query;
    request.request_key = key;
    const auto opened = engines_[instance]->Open(request, now, now);
    REQUIRE(std::holds_alternative<std::uint64_t>(opened));
    CollectActions(instance);
  }

  void Advance(microseconds by) {
    const monotonic_time end = now + by;
    for (; now < end; now += 1ms) {
      while (!scheduled_.empty() && scheduled_.begin()->first <= now) {
        const auto step = std::move(scheduled_.begin()->second);
        scheduled_.erase(scheduled_.begin());
        step();
      }
      for (std::size_t i = 0; i < engines_.size(); ++i) {
        if (frozen.count(i) > 0) continue;
        engines_[i]->OnTimer(now);
        CollectActions(i);
      }
    }
  }

  template <typename Outcome>
  int Count() const {
    int count = 0;
    for (const auto& each : outcomes) {
      if (std::holds_alternative<Outcome>(each)) ++count;
    }
    return count;
  }

  monotonic_time now{1h};
  claim_store store;
  /// Number of runs by content of the request.
  std::map<std::string, int> runs;
  std::vector<caller_outcome> outcomes;
  std::map<std::size_t, bool> frozen;
  /// Share of the platform's answers that get lost.
  double lost_answers = 0;
  /// Share of writes whose answer gets lost and that take effect late.
  double late_writes = 0;
  double lost_results = 0;
  double refusals = 0;
  bool platform_unreachable = false;
  microseconds platform_delay{2000};
  int asked = 0;

 private:
  static std::shared_ptr<const cluster_view> MakeView() {
    auto config = std::make_shared<configuration>();
    service_definition service;
    service.name = "pickups";
    service.upstreams.push_back({"van", "a", {}, {}});
    workload work;
    work.name = "booking";
    work.repeatable = false;
    service.workloads.push_back(work);
    config->services.push_back(service);
    auto view = std::make_shared<cluster_view>();
    view->config = config;
    roster own;
    own.data_centre = "a";
    own.epoch = 1;
    own.assignments.push_back({"van", "sa"});
    view->rosters.push_back(own);
    return view;
  }

  bool Chance(double share) {
    return std::uniform_real_distribution<double>(0, 1)(random_) < share;
  }

  void Schedule(microseconds delay, std::function<void()> step) {
    scheduled_.emplace(now + delay, std::move(step));
  }

  void Reply(std::size_t instance, std::uint64_t query, claim_reply reply) {
    const bool lost = Chance(lost_answers);
    if (lost) reply = claim_reply();
    Schedule(lost ? 100ms : platform_delay, [this, instance, query, reply] {
      if (frozen.count(instance) > 0) return;
      engines_[instance]->OnClaim(query, reply, now);
      CollectActions(instance);
    });
  }

  void Perform(std::size_t instance, std::uint64_t query, write_claim& call) {
    if (platform_unreachable) {
      claim_reply refused;
      refused.status = platform_status::kUnreachable;
      return Reply(instance, query, refused);
    }
    if (Chance(late_writes)) {
      Schedule(150ms, [this, call] { store.Write(call); });
      return Schedule(100ms, [this, instance, query] {
        engines_[instance]->OnClaim(query, claim_reply(), now);
        CollectActions(instance);
      });
    }
    Reply(instance, query, store.Write(call));
  }

  void Perform(std::size_t instance, std::uint64_t query, read_claim& call) {
    claim_reply refused;
    refused.status = platform_status::kUnreachable;
    Reply(instance, query, platform_unreachable ? refused : store.Read(call));
  }

  void Perform(std::size_t instance, std::uint64_t /*query*/,
               send_batch& action) {
    CHECK_FALSE(action.batch.repeatable);
    REQUIRE(action.batch.attempts.size() == 1);
    shard_result result;
    result.attempt_id = action.batch.attempts[0].attempt_id;
    result.status = shard_status::kAnswered;
    result.hits.push_back({"booked", 1, std::to_string(result.attempt_id)});
    if (Chance(refusals)) {
      result.status = shard_status::kNotRun;
    } else {
      ++runs[action.batch.query];
      if (Chance(lost_results)) result.status = shard_status::kLost;
    }
    Schedule(5ms, [this, instance, result] {
      if (frozen.count(instance) > 0) return;
      shard_results message;
      message.results.push_back(result);
      engines_[instance]->OnResults(message, now);
      CollectActions(instance);
    });
  }

  void Perform(std::size_t /*instance*/, std::uint64_t /*query*/,
               settle_request& action) {
    outcomes.push_back(action.outcome);
  }
  void Perform(std::size_t /*instance*/, std::uint64_t /*query*/,
               cancel_attempts& /*action*/) {}

  void CollectActions(std::size_t instance) {
    for (auto actions = engines_[instance]->TakeActions(); !actions.empty();
         actions = engines_[instance]->TakeActions()) {
      for (engine_action& each : actions) {
        std::visit([&](auto& a) { Perform(instance, each.query, a); },
                   each.action);
      }
    }
  }

  std::mt19937_64 random_;
  std::vector<std::unique_ptr<query_engine>> engines_;
  std::multimap<monotonic_time, std::function<void()>> scheduled_;
};

}  // namespace

TEST_CASE("a request key runs once across instances, whatever gets lost") {
  int answers = 0;
  for (unsigned seed = 1; seed <= 300; ++seed) {
    booking_simulation model(seed, 3);
    model.lost_answers = 0.3;
    model.late_writes = 0.2;
    model.lost_results = 0.2;
    model.refusals = 0.2;
    for (int repeat = 0; repeat < 8; ++repeat) {
      model.Ask(static_cast<std::size_t>(repeat) % 3, "key");
      model.Advance(microseconds(100'000 * (repeat % 3)));
    }
    model.Advance(10s);
    INFO("seed " << seed);
    CHECK(model.runs["book"] <= 1);
    CHECK(model.outcomes.size() == 8);
    std::string result;
    for (const caller_outcome& outcome : model.outcomes) {
      const auto* answer = std::get_if<answered>(&outcome);
      if (answer == nullptr) continue;
      ++answers;
      REQUIRE(answer->hits.size() == 1);
      if (result.empty()) result = answer->hits[0].text;
      CHECK(answer->hits[0].text == result);
    }
    if (answers > 0) CHECK(model.runs["book"] <= 1);
  }
  CHECK(answers > 300);
}

TEST_CASE("not_run is reported only if nothing ran under the key") {
  booking_simulation model(1, 2);
  model.platform_unreachable = true;
  model.Ask(0, "key");
  model.Advance(1s);
  CHECK(model.Count<not_run>() == 1);
  CHECK(model.runs.empty());
  model.platform_unreachable = false;
  model.refusals = 1;
  model.Ask(0, "key");
  model.Advance(1s);
  CHECK(model.Count<not_run>() == 2);
  model.refusals = 0;
  model.Ask(1, "key");
  model.Advance(1s);
  CHECK(model.Count<answered>() == 1);
  CHECK(model.runs["book"] == 1);
}

TEST_CASE("a sent request without a result is unknown and is not repeated") {
  booking_simulation model(1, 2);
  model.lost_results = 1;
  model.Ask(0, "key");
  model.Advance(500ms);
  CHECK(model.Count<outcome_unknown>() == 1);
  model.Ask(1, "key");
  model.Advance(3s);
  CHECK(model.Count<outcome_unknown>() == 2);
  CHECK(model.runs["book"] == 1);
}

TEST_CASE("the unsent claim of a failed instance is taken over") {
  booking_simulation model(1, 2);
  model.Ask(0, "key");  // The claim is written, but its answer never arrives.
  model.frozen[0] = true;
  model.Ask(1, "key");
  model.Advance(1s);
  CHECK(model.Count<answered>() == 1);
  CHECK(model.runs["book"] == 1);
  // The frozen owner resumes, and its next write must fail.
  model.frozen.clear();
  model.Advance(5s);
  CHECK(model.runs["book"] == 1);
}

TEST_CASE("a key used for a different request is a conflict") {
  booking_simulation model(1, 1);
  model.Ask(0, "key");
  model.Advance(100ms);
  model.Ask(0, "key", "another");
  model.Advance(100ms);
  REQUIRE(model.outcomes.size() == 2);
  const auto& refusal = std::get<not_run>(model.outcomes[1]);
  CHECK(refusal.cause.kind == error_kind::kConflict);
  CHECK(refusal.cause.field == "/request_key");
  CHECK(model.runs.count("another") == 0);
}

TEST_CASE("a lost booking without a key is unknown and was sent once") {
  booking_simulation model(1, 1);
  model.lost_results = 1;
  model.Ask(0, "");
  model.Advance(2s);
  CHECK(model.Count<outcome_unknown>() == 1);
  CHECK(model.runs["book"] == 1);
}

}  // namespace papayaglade
