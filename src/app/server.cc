#include "app/server.h"

#include <glog/logging.h>

#include <algorithm>
#include <chrono>
#include <future>
#include <thread>
#include <utility>

#include "app/control_worker.h"
#include "app/metrics_registry.h"
#include "app/operators_port.h"
#include "app/readiness.h"
#include "app/router_worker.h"
#include "app/steward_worker.h"
#include "app/unanswered_log.h"
#include "coordination/shutdown_plan.h"
#include "protocol/caller_codec.h"
#include "transport/http_server.h"
#include "transport/peer_links.h"
#include "transport/platform_connection_pool.h"
#include "transport/timer_thread.h"
#include "transport/upstream_connection_manager.h"

namespace papayaglade {

namespace {

constexpr std::size_t kRouterRingCapacity = 16384;
constexpr std::size_t kStewardRingCapacity = 65536;
constexpr std::size_t kControlRingCapacity = 16384;
constexpr int kStatusOk = 200;
constexpr int kStatusNotFound = 404;
constexpr int kStatusUnavailable = 503;
constexpr std::chrono::milliseconds kIdleTimeBeforeClose{500};
constexpr std::chrono::milliseconds kRingRetryDelay{1};

// The incarnation is the start time of the process in microseconds, so that
// peers can tell which of two processes with the same name is newer. The wall
// clock is read only here.
instance_identity MakeIdentity(const std::string& name) {
  const auto start = std::chrono::system_clock::now().time_since_epoch();
  const auto micros =
      std::chrono::duration_cast<std::chrono::microseconds>(start);
  return {name, static_cast<std::uint64_t>(micros.count())};
}

}  // namespace

class server::implementation {
 public:
  explicit implementation(const instance_settings& settings)
      : settings_(settings),
        self_(MakeIdentity(settings.name)),
        router_ring_(kRouterRingCapacity),
        steward_ring_(kStewardRingCapacity),
        control_ring_(kControlRingCapacity),
        peers_(settings_, self_, router_ring_, steward_ring_, control_ring_),
        platform_(settings_.platform, control_ring_, router_ring_),
        upstreams_(steward_ring_),
        router_(settings_, self_, timer_, peers_, platform_, steward_ring_,
                metrics_, router_ring_),
        stewards_(settings_, self_, timer_, peers_, upstreams_, router_ring_,
                  metrics_, steward_ring_),
        control_(settings_, self_, timer_, peers_, platform_, router_ring_,
                 steward_ring_, readiness_, metrics_, control_ring_),
        operators_(settings_, self_, router_ring_, steward_ring_, control_ring_,
                   peers_, readiness_, metrics_),
        callers_("callers", settings_.limits,
                 [this](const http_request& request,
                        const http_server::responder& respond) {
                   OnCaller(request, respond);
                 }) {}

  std::string Start() {
    std::string failed = callers_.Bind(settings_.callers);
    if (!failed.empty()) return BindFailure("callers", failed);
    failed = peers_.Listen(settings_.peers_listen);
    if (!failed.empty()) return BindFailure("peers", failed);
    failed = operators_.Start();
    if (!failed.empty()) return BindFailure("operators", failed);
    // A caller that comes before the first configuration could only be refused.
    readiness_.SetOnConfigured([this] { callers_.StartListening(); });
    timer_.Start();
    upstreams_.Start();
    platform_.Start();
    stewards_.Start();
    router_.Start();
    control_.Start();
    peers_.Start();
    callers_.Start();
    LOG(INFO) << "event=started instance=" << self_.name
              << " incarnation=" << self_.incarnation;
    return "";
  }

  // Stops new work first: the balancer sees that the instance is not ready, and
  // stewardships are handed over. Then drains accepted work in the order of its
  // flow: callers, router, stewards. A handover that takes long does not use up
  // the callers' time.
  void Shutdown() {
    const coordination_settings& bounds = settings_.coordination;
    const shutdown_plan plan(timer_.Now(), bounds.shutdown_timeout);
    readiness_.BeginShutdown();
    Push(router_ring_, stop_event{plan.Start(), bounds.shutdown_timeout});
    std::future<void> handed_over = Drain(control_ring_);
    std::this_thread::sleep_until(
        std::min(plan.Start() + bounds.balancer_delay, plan.ClosePort()));
    handed_over.wait_until(plan.ClosePort());
    std::future<void> callers_done = DrainCallers();
    WaitForDrain(callers_done, plan, "callers");
    WaitForDrain(handed_over, plan, "control");
    std::future<void> queries_done = Drain(router_ring_);
    WaitForDrain(queries_done, plan, "router");
    std::future<void> upstreams_done = Drain(steward_ring_);
    WaitForDrain(upstreams_done, plan, "stewards");
    Stop();
    LogUnwritten(plan);
  }

 private:
  // A full ring gets room soon, because its worker is still running.
  template <typename Ring, typename Event>
  static void Push(Ring& ring, const Event& event) {
    while (!ring.TryPush(event)) std::this_thread::sleep_for(kRingRetryDelay);
  }

  template <typename Ring>
  // Returns a future that becomes ready when the worker of `ring` has finished
  // its accepted work.
  static std::future<void> Drain(Ring& ring) {
    const auto done = std::make_shared<std::promise<void>>();
    std::future<void> finished = done->get_future();
    Push(ring, drain_event{[done] { done->set_value(); }});
    return finished;
  }

  std::future<void> DrainCallers() {
    const auto done = std::make_shared<std::promise<void>>();
    std::future<void> finished = done->get_future();
    callers_.Drain(kIdleTimeBeforeClose, [done] { done->set_value(); });
    return finished;
  }

  static void WaitForDrain(const std::future<void>& finished,
                           const shutdown_plan& plan, const char* worker) {
    if (finished.wait_until(plan.ForcedEnd()) == std::future_status::ready) {
      return;
    }
    LOG(ERROR) << "event=shutdown_bound_passed duty=" << worker;
  }

  void Stop() {
    callers_.Stop();
    operators_.Stop();
    control_.Stop();
    router_.Stop();
    stewards_.Stop();
    peers_.Stop();
    platform_.Stop();
    upstreams_.Stop();
    timer_.Stop();
  }

  void LogUnwritten(const shutdown_plan& plan) {
    for (unwritten_answer& each : callers_.Unwritten()) {
      LogUnanswered({std::move(each.request_id), "", each.read_at, plan.Start(),
                     awaited::kWrite},
                    timer_.Now(), metrics_);
    }
  }

  static std::string BindFailure(const std::string& port,
                                 const std::string& why) {
    return "cannot listen for " + port + ": " + why +
           "; set an address of this machine and a free port in /" + port;
  }

  void OnCaller(const http_request& request,
                const http_server::responder& respond) {
    if (request.method == "GET" && request.target == "/ready") {
      return respond(FormatReady());
    }
    if (request.method != "POST" || request.target != "/query") {
      http_response response =
          FormatCallerError({error_kind::kInvalidInput, "target",
                             "no such call", "use POST /query or GET /ready"});
      response.status = kStatusNotFound;
      return respond(response);
    }
    auto parsed = ParseCallerRequest(request.body);
    if (const auto* cause = std::get_if<error>(&parsed)) {
      return respond(FormatCallerError(*cause));
    }
    caller_event event;
    event.request = std::get<caller_request>(std::move(parsed));
    if (event.request.request_id.empty()) {
      event.request.request_id = self_.name + "-" +
                                 std::to_string(self_.incarnation) + "-" +
                                 std::to_string(++last_request_number_);
    }
    event.arrival = timer_.Now();
    event.reply = [respond, id = event.request.request_id](
                      const caller_outcome& outcome) {
      http_response response = FormatCallerOutcome(outcome);
      response.request_id = id;
      respond(std::move(response));
    };
    if (router_ring_.TryPush(std::move(event))) return;
    respond(FormatCallerError({error_kind::kOverloaded, "",
                               "this instance has too many requests",
                               "try again, or ask another instance"}));
  }

  http_response FormatReady() const {
    const std::string reason = readiness_.ReasonNotReady();
    if (reason.empty()) return {kStatusOk, "text/plain", "ready\n"};
    return {kStatusUnavailable, "text/plain", reason + "\n"};
  }

  const instance_settings settings_;
  const instance_identity self_;
  router_ring router_ring_;
  steward_ring steward_ring_;
  control_ring control_ring_;
  readiness readiness_;
  metrics_registry metrics_;
  timer_thread timer_;
  peer_links peers_;
  platform_connection_pool platform_;
  upstream_connection_manager upstreams_;
  router_worker router_;
  steward_worker stewards_;
  control_worker control_;
  operators_port operators_;
  // Accessed only on the callers thread.
  std::uint64_t last_request_number_ = 0;
  http_server callers_;
};

server::server(const instance_settings& settings)
    : implementation_(std::make_unique<implementation>(settings)) {}

server::~server() = default;

std::string server::Start() { return implementation_->Start(); }

void server::Shutdown() { implementation_->Shutdown(); }

}  // namespace papayaglade
