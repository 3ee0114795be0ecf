#include "app/steward_worker.h"

#include <catch2/catch.hpp>
#include <catch2/trompeloeil.hpp>
#include <future>

#include "coordination/virtual_timer_service.h"

namespace papayaglade {

namespace {

using std::chrono::milliseconds;
using trompeloeil::_;

constexpr char kAnswer[] = R"({"snapshot":3,"incarnation":"1","hits":[]})";

struct mock_peers : peer_port {
  MAKE_MOCK2(Send, bool(const std::string&, peer_message), override);
  MAKE_MOCK2(SetAddress, void(const instance_identity&, const endpoint&),
             override);
  MAKE_MOCK1(Dial, void(const std::string&), override);
  MAKE_MOCK1(Forget, void(const std::string&), override);
};

struct mock_metrics : metrics_sink {
  MAKE_MOCK1(Record, void(const request_sample&), override);
  MAKE_MOCK3(Add, void(counter_metric, const std::string&, std::uint64_t),
             override);
  MAKE_MOCK3(Set, void(gauge_metric, const std::string&, double), override);
};

// Opens each connection immediately and records the exchanges.
struct fake_upstreams : upstream_port {
  bool Send(upstream_command command) override {
    if (const auto* open = std::get_if<open_connection>(&command)) {
      ring->TryPush(connection_opened{open->connection_id});
    }
    if (auto* exchange = std::get_if<send_exchange>(&command)) {
      exchanges.push_back(*exchange);
    }
    return true;
  }
  steward_ring* ring = nullptr;
  std::vector<send_exchange> exchanges;
};

struct fixture {
  fixture() {
    upstreams.ring = &ring;
    configuration config;
    config.services.push_back({"shop", {}, {}});
    for (const char* name : {"u1", "u2"}) {
      config.services[0].upstreams.push_back(
          {name, "kigali", {"127.0.0.1", 1}, {2, 2, 8}});
    }
    auto view = std::make_shared<cluster_view>();
    view->config = std::make_shared<const configuration>(config);
    ring.TryPush(view_update{view});
    ring.TryPush(standing_update{
        4, timer.Now() + milliseconds(60000), {"u1", "u2"}, {}, {}});
    worker.RunOnce();
  }

  shard_batch Batch(std::uint64_t first) const {
    shard_batch batch;
    batch.origin = {"entry-2", 9};
    batch.snapshot = 3;
    batch.attempts = {{first, "a", "u1"},
                      {first + 1, "b", "u2"},
                      {first + 2, "c", "elsewhere"}};
    return batch;
  }

  void AnswerAll() {
    for (const send_exchange& each : upstreams.exchanges) {
      ring.TryPush(exchange_reply{each.connection_id, each.exchange_id, 200,
                                  kAnswer, true});
    }
    upstreams.exchanges.clear();
  }

  instance_settings settings{"steward", "kigali"};
  virtual_timer_service timer;
  mock_peers peers;
  mock_metrics metrics;
  fake_upstreams upstreams;
  router_ring router{64};
  steward_ring ring{256};
  steward_worker worker{settings,  {"steward", 5}, timer,   peers,
                        upstreams, router,         metrics, ring};
};

std::size_t Count(const peer_message& message) {
  return std::get<shard_results>(message).results.size();
}

}  // namespace

TEST_CASE("results of one wake-up are sent in one message", "[duty]") {
  fixture f;
  REQUIRE_CALL(f.peers, Send("entry-2", _))
      .WITH(Count(_2) == 1)
      .RETURN(true);  // The refusal for the upstream of another steward.
  f.ring.TryPush(batch_event{f.Batch(1), f.timer.Now() + milliseconds(500)});
  f.worker.RunOnce();
  REQUIRE(f.upstreams.exchanges.size() == 2);
  REQUIRE_CALL(f.peers, Send("entry-2", _)).WITH(Count(_2) == 2).RETURN(true);
  f.AnswerAll();
  f.worker.RunOnce();
}

TEST_CASE("a handover stops new requests and lets requests in flight finish",
          "[duty]") {
  fixture f;
  ALLOW_CALL(f.peers, Send(_, _)).RETURN(true);
  f.ring.TryPush(batch_event{f.Batch(1), f.timer.Now() + milliseconds(500)});
  f.worker.RunOnce();
  std::vector<handover> states;
  bool drained = false;
  f.ring.TryPush(handover_request{
      {}, [&](std::vector<handover> s) { states = std::move(s); }});
  f.ring.TryPush(drain_event{[&] { drained = true; }});
  f.ring.TryPush(batch_event{f.Batch(10), f.timer.Now() + milliseconds(500)});
  f.worker.RunOnce();
  CHECK(states.empty());
  CHECK(f.upstreams.exchanges.size() == 2);
  // Requests that do not end in time are reported with their remaining time.
  f.timer.Advance(milliseconds(150));
  f.ring.TryPush(status_query{[](const std::string&) {}});
  f.worker.RunOnce();
  REQUIRE(states.size() == 2);
  CHECK(states[0].state.find("\"in_flight_us\":[450000]") != std::string::npos);
  CHECK_FALSE(drained);
  f.AnswerAll();
  f.worker.RunOnce();
  CHECK(drained);

  fixture next;
  ALLOW_CALL(next.peers, Send(_, _)).RETURN(true);
  next.ring.TryPush(handover_event{states});
  std::string status;
  next.ring.TryPush(
      status_query{[&](std::string s) { status = std::move(s); }});
  next.worker.RunOnce();
  CHECK(status.find("\"unproven\":1") != std::string::npos);
}

TEST_CASE("a handover waits briefly for requests in flight to end", "[duty]") {
  fixture f;
  ALLOW_CALL(f.peers, Send(_, _)).RETURN(true);
  f.ring.TryPush(batch_event{f.Batch(1), f.timer.Now() + milliseconds(500)});
  f.worker.RunOnce();
  std::vector<handover> states;
  f.ring.TryPush(handover_request{
      {}, [&](std::vector<handover> s) { states = std::move(s); }});
  f.worker.RunOnce();
  CHECK(states.empty());
  f.AnswerAll();
  f.worker.RunOnce();
  REQUIRE(states.size() == 2);
  CHECK(states[0].state.find("\"in_flight_us\":[]") != std::string::npos);
}

}  // namespace papayaglade
