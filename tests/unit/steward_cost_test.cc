#include <sys/resource.h>

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <iostream>

#include "app/steward_worker.h"
#include "coordination/virtual_timer_service.h"
#include "transport/http_server.h"
#include "transport/upstream_connection_manager.h"

// Not run by default. `unit_tests "[cost]"` prints the processor time for each
// shard request and each exchange, in microseconds.

namespace papayaglade {

namespace {

using std::chrono::milliseconds;

constexpr int kUpstreams = 5;
constexpr int kShards = 360;
constexpr int kQueries = 200;
constexpr int kExchanges = 20000;
constexpr char kAnswer[] =
    R"({"snapshot":3,"incarnation":"1","hits":[["key-1",0.5,"a short text"],)"
    R"(["key-2",0.4,"another short text"],["key-3",0.3,"a third text"]]})";

// Returns the user and system time of a thread or of the process.
double ProcessorSeconds(int who) {
  rusage usage{};
  getrusage(who, &usage);
  const auto seconds = [](const timeval& t) {
    return static_cast<double>(t.tv_sec) + static_cast<double>(t.tv_usec) / 1e6;
  };
  return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

// Returns the processor time of the thread with this name.
double ThreadSeconds(const std::string& name) {
  for (const auto& task :
       std::filesystem::directory_iterator("/proc/self/task")) {
    std::string found;
    std::getline(std::ifstream(task.path() / "comm"), found);
    double nanoseconds = 0;
    std::ifstream(task.path() / "schedstat") >> nanoseconds;
    if (found == name) return nanoseconds / 1e9;
  }
  return 0;
}

struct counting_peers : peer_port {
  bool Send(const std::string& /*peer*/, peer_message message) override {
    results += std::get<shard_results>(message).results.size();
    return true;
  }
  void SetAddress(const instance_identity& /*peer*/,
                  const endpoint& /*address*/) override {}
  void Dial(const std::string& /*peer*/) override {}
  void Forget(const std::string& /*peer*/) override {}
  std::size_t results = 0;
};

struct null_metrics : metrics_sink {
  void Record(const request_sample& /*sample*/) override {}
  void Add(counter_metric /*metric*/, const std::string& /*label*/,
           std::uint64_t /*count*/) override {}
  void Set(gauge_metric /*metric*/, const std::string& /*label*/,
           double /*value*/) override {}
};

// Opens each connection and answers each exchange immediately.
struct instant_upstreams : upstream_port {
  bool Send(upstream_command command) override {
    if (const auto* open = std::get_if<open_connection>(&command)) {
      ring->TryPush(connection_opened{open->connection_id});
    }
    if (const auto* exchange = std::get_if<send_exchange>(&command)) {
      ring->TryPush(exchange_reply{exchange->connection_id,
                                   exchange->exchange_id, 200, kAnswer, true});
    }
    return true;
  }
  steward_ring* ring = nullptr;
};

std::shared_ptr<cluster_view> MakeView() {
  configuration config;
  config.services.push_back({"shop", {}, {}});
  for (int i = 0; i < kUpstreams; ++i) {
    config.services[0].upstreams.push_back({"searcher-" + std::to_string(i),
                                            "kigali",
                                            {"127.0.0.1", 1},
                                            {6, 6, 100}});
  }
  auto view = std::make_shared<cluster_view>();
  view->config = std::make_shared<const configuration>(config);
  return view;
}

}  // namespace

TEST_CASE("processor time of the stewards duty", "[.][cost]") {
  const instance_settings settings{"steward", "kigali"};
  virtual_timer_service timer;
  counting_peers peers;
  null_metrics metrics;
  instant_upstreams upstreams;
  router_ring router{64};
  steward_ring ring{65536};
  upstreams.ring = &ring;
  steward_worker worker{settings,  {"steward", 5}, timer,   peers,
                        upstreams, router,         metrics, ring};
  standing_update standing{1, timer.Now() + std::chrono::hours(9), {}, {}, {}};
  for (int i = 0; i < kUpstreams; ++i) {
    standing.upstreams.push_back("searcher-" + std::to_string(i));
  }
  ring.TryPush(view_update{MakeView()});
  ring.TryPush(standing);
  worker.RunOnce();
  const double before = ProcessorSeconds(RUSAGE_THREAD);
  for (int query = 0; query < kQueries; ++query) {
    shard_batch batch;
    batch.origin = {"entry-2", 9};
    batch.request_id = "entry-2-9-" + std::to_string(query);
    batch.query = "price of flour in the north";
    batch.snapshot = 3;
    for (int i = 0; i < kShards; ++i) {
      batch.attempts.push_back({static_cast<std::uint64_t>(query * kShards + i),
                                "shard-" + std::to_string(i),
                                standing.upstreams[i % kUpstreams]});
    }
    ring.TryPush(
        batch_event{std::move(batch), timer.Now() + std::chrono::seconds(10)});
    const std::size_t wanted = peers.results + kShards;
    while (peers.results < wanted) worker.RunOnce();
  }
  const double spent = ProcessorSeconds(RUSAGE_THREAD) - before;
  std::cout << "stewards duty: " << spent * 1e6 / (kQueries * kShards)
            << " us per shard request\n";
}

TEST_CASE("processor time of the upstream links", "[.][cost]") {
  http_server server("echo", port_limits(),
                     [](const http_request& /*request*/,
                        const http_server::responder& respond) {
                       respond({200, "application/json", kAnswer});
                     });
  endpoint target{"127.0.0.1", 24060};
  while (!server.Listen(target).empty()) ++target.port;
  server.Start();
  steward_ring ring(256);
  upstream_connection_manager links(ring);
  links.Start();
  steward_event event;
  constexpr std::uint64_t kConnections = 30;
  for (std::uint64_t id = 1; id <= kConnections; ++id) {
    links.Send(open_connection{id, target, milliseconds(500)});
    ring.Pop(event);
  }
  const std::string body(180, 'x');
  for (std::uint64_t id = 1; id <= kConnections; ++id) {
    links.Send(send_exchange{id, id, "POST", "/search", body});
  }
  const double before = ThreadSeconds("upstreams");
  for (int i = 0; i < kExchanges; ++i) {
    ring.Pop(event);
    const auto id = std::get<exchange_reply>(event).connection_id;
    links.Send(send_exchange{id, id, "POST", "/search", body});
  }
  std::cout << "upstream links thread: "
            << (ThreadSeconds("upstreams") - before) * 1e6 / kExchanges
            << " us per exchange\n";
}

}  // namespace papayaglade
