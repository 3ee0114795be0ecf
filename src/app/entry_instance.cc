#include "app/entry_instance.h"

#include <algorithm>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <optional>
#include <set>
#include <utility>

#include "app/entry_metrics.h"
#include "app/entry_service.h"
#include "app/instance_registry.h"
#include "app/metrics_registry.h"
#include "app/operators_service.h"
#include "app/port_shutdown.h"
#include "app/relay_client.h"
#include "app/relay_server.h"
#include "app/service_files.h"
#include "app/store_mirror.h"
#include "app/store_object_applier.h"
#include "app/structured_log.h"
#include "coordination/shutdown_plan.h"
#include "coordination/stall_monitor.h"
#include "protocol/entry_settings_codec.h"

namespace papayaglade {

namespace {

using std::chrono::milliseconds;

// Callers get one file descriptor in two; the rest is left for upstreams.
constexpr std::size_t kDescriptorsPerCaller = 2;
constexpr std::size_t kOperatorConnections = 32;
// Longest delay of a change when all the instances that a follower depends on
// fail at the same time.
constexpr milliseconds kMaxFollowerLag{2500};
constexpr milliseconds kSweepInterval{500};
constexpr milliseconds kReachabilityCheckInterval{100};
constexpr milliseconds kSettingsCheckInterval{1000};
constexpr milliseconds kShutdownCheckInterval{50};
constexpr milliseconds kLastTurnDelay{1};
constexpr milliseconds kLastFlushLimit{50};
constexpr int kServiceUnavailable = 503;

}  // namespace

class entry_instance::implementation {
 public:
  implementation(std::string settings_file, const entry_settings& settings,
                 const entry_wire_format& wire, const store_format& format)
      : settings_file_(std::move(settings_file)),
        settings_(settings),
        memory_(ShareMemory(settings.memory_bytes)),
        log_(loop_),
        directory_(settings.data_centre, settings.bounds, settings.warmup),
        policy_(settings.repeats),
        upstream_client_(loop_, wire, directory_, policy_, reachability_,
                         memory_.answers),
        service_(loop_, wire, directory_, policy_, upstream_client_, log_,
                 metrics_),
        callers_(loop_, service_, settings.descriptors / kDescriptorsPerCaller,
                 memory_),
        readiness_(loop_, readiness_service_, kOperatorConnections),
        metrics_port_(loop_, metrics_service_, kOperatorConnections),
        signals_(loop_.Io(), SIGTERM, SIGINT, SIGHUP),
        applier_(format, log_, directory_, service_),
        links_(loop_),
        relay_client_(loop_, links_,
                      {settings.name, settings.data_centre, settings.control,
                       settings.cores},
                      reachability_),
        relay_server_(loop_, links_, directory_, upstream_client_),
        mirror_(
            loop_, format, log_, era_, links_, settings, CanFollow(),
            {[this](stored_kind kind, const auto& objects) {
               applier_.OnChanges(kind, objects);
             },
             [this](const auto& members) { registry_.OnPeerMembers(members); },
             [this](monotonic_time time) { directory_.ConfirmList(time); },
             [this] { return stalls_.EarliestTime(loop_context::Now()); },
             [this](monotonic_time time) {
               directory_.OnStoreUnavailable(time);
             }}),
        registry_(loop_, format, log_, era_, settings.store,
                  {settings.name, settings.data_centre, settings.control,
                   settings.cores},
                  [this](const fleet_position& fleet,
                         const std::vector<fleet_member>& members) {
                    directory_.SetFleet(fleet);
                    policy_.SetInstances(fleet.instances);
                    mirror_.SetMembers(members);
                    relay_client_.SetMembers(members);
                  }) {}

  std::string Start() {
    settings_text_ = ReadFile(settings_file_).value_or("");
    readiness_service_.Add("/readiness", [this] { return Readiness(); });
    metrics_service_.Add("/metrics", [this] { return Metrics(); });
    std::string failed = callers_.Listen(settings_.callers);
    if (!failed.empty()) return BindFailure("callers", failed);
    failed = readiness_.Listen(settings_.readiness);
    if (!failed.empty()) return BindFailure("readiness", failed);
    failed = metrics_port_.Listen(settings_.metrics);
    if (!failed.empty()) return BindFailure("metrics", failed);
    upstream_client_.SetOnSilent(
        [this](const upstream_record& upstream, milliseconds age) {
          log_.Write(structured_log::kind::kAttempt,
                     log_line("upstream_silent")
                         .With("service", upstream.service)
                         .With("upstream", upstream.id)
                         .With("data_centre", upstream.data_centre)
                         .With("ms", age.count()));
        });
    upstream_client_.SetOnNotice(
        [this](const upstream_record& upstream, const upstream_notice& notice) {
          LogNotice(upstream, notice);
        });
    upstream_client_.SetOnSentToLeaving(
        [this](const upstream_record& upstream, milliseconds usable) {
          const milliseconds leaving = directory_.DrainTime() - usable;
          log_.Write(structured_log::kind::kAttempt,
                     log_line("attempt_to_leaving")
                         .With("service", upstream.service)
                         .With("upstream", upstream.id)
                         .With("leaving_ms", leaving.count())
                         .With("usable_ms", usable.count()));
        });
    service_.SetStateStatus([this] { return StateStatus(); });
    service_.SetRelays(&relay_client_);
    era_.Subscribe([this](std::int64_t before, std::int64_t /*now*/) {
      if (before != kNoEra) applier_.OnNewEra(loop_context::Now());
    });
    failed = mirror_.Start();
    if (!failed.empty()) return BindFailure("control", failed);
    AwaitSignal();
    registry_.Start();
    ScheduleSweep();
    ScheduleReachabilityCheck();
    ScheduleSettingsCheck();
    log_.Write(structured_log::kind::kEvent,
               log_line("started")
                   .With("instance", settings_.name)
                   .With("data_centre", settings_.data_centre));
    return "";
  }

  void Run() {
    loop_.Run();
    log_.FlushAtEnd(kLastFlushLimit);
  }

 private:
  static std::string BindFailure(const std::string& port,
                                 const std::string& why) {
    return "cannot listen for " + port + ": " + why +
           "; set an address of this machine and a free port in /" + port;
  }

  state_status StateStatus() const {
    return {std::chrono::duration_cast<milliseconds>(loop_context::Now() -
                                                     mirror_.LastAnswer()),
            mirror_.StatusOf(stored_kind::kConfiguration),
            applier_.Unapplied()};
  }

  bool Ready() const {
    return !stop_.has_value() && !diverting_ && service_.IsConfigured() &&
           mirror_.Complete();
  }

  operators_service::page Readiness() const {
    if (Ready()) return {200, "ready\n"};
    return {kServiceUnavailable, stop_.has_value() ? "stopping\n"
                                 : diverting_      ? "upstreams unreachable\n"
                                                   : "no state yet\n"};
  }

  operators_service::page Metrics() const {
    const entry_metrics metrics({metrics_, upstream_client_, relay_client_,
                                 relay_server_, mirror_, era_, applier_,
                                 registry_});
    return {200, metrics.Format()};
  }

  void LogNotice(const upstream_record& upstream,
                 const upstream_notice& notice) {
    log_line line("upstream_notice");
    line.With("service", upstream.service).With("upstream", upstream.id);
    if (notice.leaving) line.With("leaving", 1);
    if (notice.retry_after.has_value())
      line.With("pause_ms", notice.retry_after->count());
    if (notice.retry_after_unreadable) {
      line.With("at", "Retry-After")
          .With("why", "not a number of seconds")
          .With("remedy", "send seconds such as 2 or 0.5");
    }
    log_.Write(structured_log::kind::kAttempt, line);
  }

  // A follower whose sources fail learns late that an upstream is leaving, but
  // must still stop using that upstream within the drain bound.
  bool CanFollow() const {
    return settings_.bounds.drain_timeout - directory_.DrainTime() >=
           kMaxFollowerLag;
  }

  void ScheduleSweep() {
    loop_.ScheduleAfter(kSweepInterval, [this](monotonic_time now) {
      for (const std::string& each : directory_.EraseDrained(now)) {
        log_.Write(structured_log::kind::kEvent,
                   log_line("upstream_dropped").With("upstream", each));
      }
      upstream_client_.CloseUnusedConnections();
      applier_.ApplyDeferred(now);
      ScheduleSweep();
    });
  }

  void ScheduleReachabilityCheck() {
    loop_.ScheduleAfter(kReachabilityCheckInterval, [this](monotonic_time now) {
      stalls_.OnTimer(now);
      CheckReachability(now);
      ScheduleReachabilityCheck();
    });
  }

  void CheckReachability(monotonic_time now) {
    const std::set<std::string> before = reachability_.Unreachable();
    if (reachability_.Evaluate(directory_.ReachabilitySamples(now), now)) {
      LogReachabilityChanges(before, reachability_.Unreachable());
      directory_.SetUnreachableDataCentres(reachability_.Unreachable());
    }
    for (const std::string& each : reachability_.Unreachable()) {
      const upstream_pointer probed = directory_.NextUpstreamIn(each, now);
      if (probed != nullptr) upstream_client_.Probe(probed);
    }
    const bool diverting = !reachability_.Unreachable().empty() &&
                           service_.MostRequestsUnservable(now);
    if (diverting == diverting_) return;
    diverting_ = diverting;
    service_.SetDiverting(diverting);
    log_.Write(structured_log::kind::kEvent,
               log_line(diverting ? "diverting_callers" : "serving_callers"));
  }

  void LogReachabilityChanges(const std::set<std::string>& before,
                              const std::set<std::string>& after) {
    for (const std::string& each : after) {
      if (before.count(each) != 0) continue;
      log_.Write(structured_log::kind::kEvent,
                 log_line("data_centre_lost").With("data_centre", each));
    }
    for (const std::string& each : before) {
      if (after.count(each) != 0) continue;
      log_.Write(structured_log::kind::kEvent,
                 log_line("data_centre_regained").With("data_centre", each));
    }
  }

  // Polls the settings file, because it may change without a SIGHUP.
  void ScheduleSettingsCheck() {
    loop_.ScheduleAfter(kSettingsCheckInterval, [this](monotonic_time) {
      ReloadSettings();
      ScheduleSettingsCheck();
    });
  }

  void ReloadSettings() {
    const auto text = ReadFile(settings_file_);
    if (!text.has_value() || *text == settings_text_) return;
    settings_text_ = *text;
    fault_list faults;
    const entry_settings read =
        ParseEntrySettings(settings_file_, *text, faults);
    if (!faults.empty()) {
      log_.Write(structured_log::kind::kEvent,
                 log_line("settings_refused")
                     .With("at", faults.front().pointer)
                     .With("why", faults.front().message)
                     .With("remedy", faults.front().remedy));
      return;
    }
    settings_.repeats = read.repeats;
    settings_.warmup = read.warmup;
    settings_.bounds = read.bounds;
    policy_.SetLimits(read.repeats);
    directory_.SetWarmup(read.warmup);
    log_.Write(structured_log::kind::kEvent, log_line("settings_reloaded"));
  }

  void AwaitSignal() {
    signals_.async_wait([this](boost::system::error_code failed, int signal) {
      if (failed) return;
      log_.Write(structured_log::kind::kEvent,
                 log_line("signal").With("number", signal));
      if (signal == SIGHUP) {
        ReloadSettings();
      } else if (!stop_.has_value()) {
        BeginShutdown();
      }
      AwaitSignal();
    });
  }

  void BeginShutdown() {
    ReloadSettings();  // The bound may have changed since the last check.
    const monotonic_time now = loop_context::Now();
    stop_.emplace(stalls_.EarliestTime(now), settings_.bounds.shutdown_timeout);
    const auto late =
        std::chrono::duration_cast<milliseconds>(now - stop_->Start());
    service_.BeginStop(*stop_);
    relay_server_.BeginStop();
    registry_.Leave();
    mirror_.StopServing();
    log_.Write(
        structured_log::kind::kEvent,
        log_line("stopping")
            .With("requests", static_cast<int64_t>(service_.ActiveCount()))
            .With("late_ms", late.count()));
    ScheduleShutdownCheck();
  }

  void ScheduleShutdownCheck() {
    loop_.ScheduleAfter(kShutdownCheckInterval, [this](monotonic_time now) {
      if (port_shutdown(*stop_, callers_).Advance(now)) return AwaitLastTurn();
      ScheduleShutdownCheck();
    });
  }

  // A loop that was held up may come here before it has read the last answers
  // of upstreams and before the deadlines of its requests have taken effect.
  // The delay is one turn of the loop, in which it reads what has arrived.
  void AwaitLastTurn() {
    loop_.ScheduleAfter(kLastTurnDelay, [this](monotonic_time) {
      service_.FinishAll();
      StopLoop();
    });
  }

  void StopLoop() {
    log_line line("stopped");
    line.With("requests", static_cast<int64_t>(service_.ActiveCount()))
        .With("connections", static_cast<int64_t>(callers_.ConnectionCount()));
    const std::size_t unanswered = service_.UnansweredCount();
    const std::size_t unwritten = service_.UnwrittenCount();
    callers_.CloseAllConnections();
    line.With("unanswered",
              static_cast<int64_t>(service_.UnansweredCount() - unanswered))
        .With("unwritten",
              static_cast<int64_t>(service_.UnwrittenCount() - unwritten));
    log_.Write(structured_log::kind::kEvent, line);
    loop_.Stop();
  }

  std::string settings_file_;
  std::string settings_text_;
  entry_settings settings_;
  const memory_shares memory_;
  loop_context loop_;
  structured_log log_;
  metrics_registry metrics_;
  upstream_directory directory_;
  attempt_policy policy_;
  reachability_monitor reachability_;
  upstream_client upstream_client_;
  entry_service service_;
  operators_service readiness_service_;
  operators_service metrics_service_;
  caller_port callers_;
  caller_port readiness_;
  caller_port metrics_port_;
  boost::asio::signal_set signals_;
  store_object_applier applier_;
  store_era era_;
  instance_links links_;
  relay_client relay_client_;
  relay_server relay_server_;
  store_mirror mirror_;
  instance_registry registry_;
  stall_monitor stalls_{kReachabilityCheckInterval, loop_context::Now()};
  bool diverting_ = false;
  std::optional<shutdown_plan> stop_;  ///< Empty until the stop begins.
};

entry_instance::entry_instance(std::string settings_file,
                               const entry_settings& settings,
                               const entry_wire_format& wire,
                               const store_format& format)
    : implementation_(std::make_unique<implementation>(
          std::move(settings_file), settings, wire, format)) {}

entry_instance::~entry_instance() = default;

std::string entry_instance::Start() { return implementation_->Start(); }

void entry_instance::Run() { implementation_->Run(); }

}  // namespace papayaglade
