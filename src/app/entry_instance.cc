#include "app/entry_instance.h"

#include <algorithm>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <set>
#include <utility>

#include "app/decision_log.h"
#include "app/entry_service.h"
#include "app/instance_registry.h"
#include "app/metrics_registry.h"
#include "app/operators_service.h"
#include "app/service_files.h"
#include "app/store_mirror.h"
#include "app/tier_state.h"
#include "protocol/entry_settings_codec.h"

namespace papayaglade {

namespace {

using std::chrono::milliseconds;

constexpr std::size_t kDescriptorsForUpstreams = 2;  // One in so many.
constexpr std::size_t kOperatorConnections = 32;
// How late news may be when those that an instance follows fail together.
constexpr milliseconds kFollowedNews{2500};
constexpr milliseconds kSweepPeriod{500};
constexpr milliseconds kPathPeriod{100};
constexpr milliseconds kSettingsPeriod{1000};
constexpr milliseconds kShutdownPeriod{50};
// How SIGTERM's time is used, as shares of the bound: the balancer has
// noticed; kept connections are closed; the process ends in any case.
constexpr double kBalancerShare = 0.5;
constexpr double kCloseIdleShare = 0.75;
constexpr double kEndShare = 0.93;
constexpr int kServiceUnavailable = 503;

milliseconds Share(double share, milliseconds whole) {
  return milliseconds(
      static_cast<std::int64_t>(share * static_cast<double>(whole.count())));
}

}  // namespace

class entry_instance::implementation {
 public:
  implementation(std::string settings_file, const entry_settings& settings,
                 const entry_wire_format& wire, const store_format& format)
      : settings_file_(std::move(settings_file)),
        settings_(settings),
        log_(loop_),
        directory_(settings.data_centre, settings.bounds, settings.warmup),
        policy_(settings.repeats),
        exchanges_(loop_, wire, directory_, policy_, paths_),
        service_(loop_, wire, directory_, policy_, exchanges_, log_, metrics_),
        callers_(loop_, service_,
                 settings.descriptors / kDescriptorsForUpstreams),
        readiness_(loop_, readiness_service_, kOperatorConnections),
        metrics_port_(loop_, metrics_service_, kOperatorConnections),
        signals_(loop_.Io(), SIGTERM, SIGINT, SIGHUP),
        state_(format, log_, directory_, service_),
        mirror_(loop_, format, log_, settings, MayFollow(),
                {[this](stored_kind kind, const auto& objects) {
                   state_.OnChanges(kind, objects);
                 },
                 [this](const auto& members) { registry_.Learn(members); }}),
        registry_(loop_, format, log_, settings.store,
                  {settings.name, settings.data_centre, settings.control,
                   settings.cores},
                  [this](const fleet_position& fleet,
                         const std::vector<fleet_member>& members) {
                    directory_.SetFleet(fleet);
                    policy_.SetInstances(fleet.instances);
                    mirror_.SetMembers(members);
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
    exchanges_.SetOnSilent(
        [this](const upstream_record& upstream, milliseconds age) {
          log_.Write(decision_log::kind::kAttempt,
                     log_line("upstream_silent")
                         .With("service", upstream.service)
                         .With("upstream", upstream.id)
                         .With("data_centre", upstream.data_centre)
                         .With("ms", age.count()));
        });
    service_.SetStateAge([this] {
      return std::chrono::duration_cast<milliseconds>(loop_context::Now() -
                                                      mirror_.LastAnswer());
    });
    failed = mirror_.Start();
    if (!failed.empty()) return BindFailure("control", failed);
    AwaitSignal();
    registry_.Start();
    PlanSweep();
    PlanPathCheck();
    PlanSettingsCheck();
    log_.Write(decision_log::kind::kEvent,
               log_line("started")
                   .With("instance", settings_.name)
                   .With("data_centre", settings_.data_centre));
    return "";
  }

  void Run() {
    loop_.Run();
    log_.Flush();
  }

 private:
  static std::string BindFailure(const std::string& port,
                                 const std::string& why) {
    return "cannot listen for " + port + ": " + why +
           "; give an address of this machine and a free port in /" + port;
  }

  bool Ready() const {
    return !stopping_ && !diverting_ && service_.Configured() &&
           mirror_.Complete();
  }

  operators_service::page Readiness() const {
    if (Ready()) return {200, "ready\n"};
    return {kServiceUnavailable, stopping_    ? "stopping\n"
                                 : diverting_ ? "upstreams unreachable\n"
                                              : "no state yet\n"};
  }

  operators_service::page Metrics() const {
    std::string text = metrics_.Format();
    const auto& totals = exchanges_.Totals();
    text += "papayaglade_attempts_total " + std::to_string(totals.sent) + "\n";
    text += "papayaglade_upstream_connects_total " +
            std::to_string(totals.connected) + "\n";
    for (const auto& each : totals.ends) {
      text += std::string("papayaglade_attempt_ends_total{end=\"") +
              AttemptEndName(each.first) + "\"} " +
              std::to_string(each.second) + "\n";
    }
    text += "papayaglade_store_calls_total " +
            std::to_string(mirror_.StoreCalls()) + "\n";
    text +=
        "papayaglade_followers " + std::to_string(mirror_.Followers()) + "\n";
    return {200, text};
  }

  // A follower whose sources fail learns of a leaving upstream later, and has
  // to stop using it in time all the same.
  bool MayFollow() const {
    return settings_.bounds.drain_timeout - directory_.LeaveTime() >=
           kFollowedNews;
  }

  void PlanSweep() {
    loop_.After(kSweepPeriod, [this](monotonic_time now) {
      for (const std::string& each : directory_.DropLeft(now)) {
        log_.Write(decision_log::kind::kEvent,
                   log_line("upstream_dropped").With("upstream", each));
      }
      exchanges_.Sweep();
      PlanSweep();
    });
  }

  void PlanPathCheck() {
    loop_.After(kPathPeriod, [this](monotonic_time now) {
      CheckPaths(now);
      PlanPathCheck();
    });
  }

  void CheckPaths(monotonic_time now) {
    const std::set<std::string> before = paths_.Cut();
    if (paths_.Judge(directory_.PathSamples(now), now)) {
      LogPaths(before, paths_.Cut());
      directory_.SetCutDataCentres(paths_.Cut());
    }
    for (const std::string& each : paths_.Cut()) {
      const upstream_pointer probed = directory_.AnyOf(each);
      if (probed != nullptr) exchanges_.Probe(probed);
    }
    const bool diverting =
        !paths_.Cut().empty() && service_.CannotServeMost(now);
    if (diverting == diverting_) return;
    diverting_ = diverting;
    service_.SetDiverting(diverting);
    log_.Write(decision_log::kind::kEvent,
               log_line(diverting ? "diverting_callers" : "serving_callers"));
  }

  void LogPaths(const std::set<std::string>& before,
                const std::set<std::string>& after) {
    for (const std::string& each : after) {
      if (before.count(each) != 0) continue;
      log_.Write(decision_log::kind::kEvent,
                 log_line("data_centre_lost").With("data_centre", each));
    }
    for (const std::string& each : before) {
      if (after.count(each) != 0) continue;
      log_.Write(decision_log::kind::kEvent,
                 log_line("data_centre_regained").With("data_centre", each));
    }
  }

  // The file may change without a signal.
  void PlanSettingsCheck() {
    loop_.After(kSettingsPeriod, [this](monotonic_time) {
      ReloadSettings();
      PlanSettingsCheck();
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
      log_.Write(decision_log::kind::kEvent,
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
    log_.Write(decision_log::kind::kEvent, log_line("settings_reloaded"));
  }

  void AwaitSignal() {
    signals_.async_wait([this](boost::system::error_code failed, int signal) {
      if (failed) return;
      log_.Write(decision_log::kind::kEvent,
                 log_line("signal").With("number", signal));
      if (signal == SIGHUP) {
        ReloadSettings();
      } else if (!stopping_) {
        BeginShutdown();
      }
      AwaitSignal();
    });
  }

  void BeginShutdown() {
    stopping_ = true;
    stop_begun_ = loop_context::Now();
    service_.CloseAfterAnswers();
    registry_.Leave();
    mirror_.StopServing();
    log_.Write(decision_log::kind::kEvent,
               log_line("stopping")
                   .With("requests", static_cast<int64_t>(service_.Active())));
    PlanShutdown();
  }

  void PlanShutdown() {
    loop_.After(kShutdownPeriod, [this](monotonic_time now) {
      const milliseconds bound = settings_.bounds.shutdown_timeout;
      const auto passed = now - stop_begun_;
      if (passed >= Share(kCloseIdleShare, bound)) {
        callers_.StopAccepting();
        callers_.CloseIdle();
      }
      const bool idle =
          passed >= Share(kBalancerShare, bound) && callers_.Connections() == 0;
      if (idle || passed >= Share(kEndShare, bound)) return EndLoop();
      PlanShutdown();
    });
  }

  void EndLoop() {
    callers_.StopAccepting();
    log_.Write(decision_log::kind::kEvent,
               log_line("stopped").With(
                   "requests", static_cast<int64_t>(service_.Active())));
    log_.Flush();
    loop_.Stop();
  }

  std::string settings_file_;
  std::string settings_text_;
  entry_settings settings_;
  loop_context loop_;
  decision_log log_;
  metrics_registry metrics_;
  upstream_directory directory_;
  attempt_policy policy_;
  path_watch paths_;
  upstream_exchanges exchanges_;
  entry_service service_;
  operators_service readiness_service_;
  operators_service metrics_service_;
  caller_port callers_;
  caller_port readiness_;
  caller_port metrics_port_;
  boost::asio::signal_set signals_;
  tier_state state_;
  store_mirror mirror_;
  instance_registry registry_;
  bool stopping_ = false;
  bool diverting_ = false;
  monotonic_time stop_begun_;
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
