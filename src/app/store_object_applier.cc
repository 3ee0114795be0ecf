#include "app/store_object_applier.h"

#include <algorithm>
#include <chrono>
#include <memory>
#include <utility>

namespace papayaglade {

namespace {

constexpr char kConfigurationName[] = "main";
// Maximum number of log lines about ready upstreams for one change. If there
// are more, one further line holds their number.
constexpr std::size_t kMaxReadyLines = 20;
// The metric has the number of all unreadable upstreams.
constexpr std::size_t kMaxUnreadableLines = 20;
constexpr std::size_t kMaxLoggedNameBytes = 64;
// What was written since the copy of a restored store is written again by then.
constexpr std::chrono::milliseconds kRewriteTime{2500};
// A process that lives has written its own report by then, and the entry of one
// that has ended is removed, after three reports that did not come.
constexpr std::chrono::milliseconds kProofTime{4000};
// Logged where the list of upstreams was never confirmed.
constexpr std::chrono::milliseconds kUnknownAge{-1};

}  // namespace

store_object_applier::store_object_applier(const store_format& format,
                                           structured_log& log,
                                           upstream_directory& directory,
                                           entry_service& service)
    : format_(format), log_(log), directory_(directory), service_(service) {}

void store_object_applier::OnChanges(
    stored_kind kind, const std::vector<stored_object>& objects) {
  switch (kind) {
    case stored_kind::kConfiguration:
      return OnConfiguration(objects);
    case stored_kind::kUpstreams:
      return OnUpstreams(objects);
    case stored_kind::kClosedDataCentres:
      return OnClosedDataCentres(objects);
    case stored_kind::kInstances:
      return;
  }
}

void store_object_applier::OnConfiguration(
    const std::vector<stored_object>& objects) {
  for (const stored_object& each : objects) {
    if (each.name != kConfigurationName || each.deleted) continue;
    fault_list faults;
    auto decoded = format_.DecodeConfiguration(each, faults);
    if (!decoded.has_value()) {
      ++unreadable_;
      unapplied_ = {"unreadable"};
      log_.Write(structured_log::kind::kEvent,
                 log_line("configuration_refused")
                     .With("at", faults.front().pointer)
                     .With("why", faults.front().message)
                     .With("remedy", faults.front().remedy)
                     .With("kept", version_));
      continue;
    }
    Apply(std::move(*decoded));
  }
}

void store_object_applier::Apply(tier_configuration configuration) {
  if (configuration.version < version_) {
    unapplied_ = {"outdated", configuration.version};
    return log_.Write(structured_log::kind::kEvent,
                      log_line("configuration_outdated")
                          .With("version", configuration.version)
                          .With("kept", version_));
  }
  unapplied_ = {};
  if (configuration.version == version_) return;
  log_.Write(
      structured_log::kind::kEvent,
      log_line("configuration")
          .With("version", configuration.version)
          .With("before", version_)
          .With("routes", static_cast<int64_t>(configuration.routes.size())));
  version_ = configuration.version;
  const auto shared =
      std::make_shared<const tier_configuration>(std::move(configuration));
  directory_.SetConfiguration(shared);
  service_.SetConfiguration(shared);
}

const char* store_object_applier::UpstreamChangeName(upstream_change change) {
  switch (change) {
    case upstream_change::kReady:
      return "ready";
    case upstream_change::kDraining:
      return "draining";
    case upstream_change::kGone:
      return "gone";
    case upstream_change::kUnreadable:
      return "unreadable";
    case upstream_change::kOutdated:
      return "outdated";
    case upstream_change::kDeferred:
      return "deferred";
    case upstream_change::kEarlierProcess:
      return "earlier_process";
  }
  return "unknown";
}

void store_object_applier::OnUpstreams(
    const std::vector<stored_object>& objects) {
  const monotonic_time now = loop_context::Now();
  std::size_t ready = 0;
  unreadable_lines_ = 0;
  for (const stored_object& each : objects) {
    const upstream_change change = ApplyUpstream(each, now);
    if (change == upstream_change::kUnreadable) continue;
    if (change == upstream_change::kReady && ++ready > kMaxReadyLines) continue;
    log_line line("upstream_changed");
    line.With("upstream", each.name).With("state", UpstreamChangeName(change));
    if (change != upstream_change::kReady) {
      const auto age = AgeOf(directory_.ListConfirmedAt(), now);
      line.With("confirmed_ms", age.value_or(kUnknownAge).count());
    }
    log_.Write(structured_log::kind::kEvent, line);
  }
  if (ready <= kMaxReadyLines) return;
  log_.Write(structured_log::kind::kEvent,
             log_line("upstreams_listed")
                 .With("ready", static_cast<std::int64_t>(ready))
                 .With("known", static_cast<std::int64_t>(directory_.Size())));
}

store_object_applier::upstream_change store_object_applier::ApplyUpstream(
    const stored_object& object, monotonic_time now) {
  deferred_upstreams_.erase(object.name);
  const auto before = TakeEarlierProcess(object.name);
  fault_list faults;
  std::optional<upstream_record> record;
  if (!object.deleted) record = format_.DecodeUpstream(object, faults);
  if (record.has_value()) return ApplyRecord(object, *record, before, now);
  directory_.Remove(object.name, now);
  if (object.deleted) return upstream_change::kGone;
  OnUnreadableUpstream(object, faults);
  return upstream_change::kUnreadable;
}

store_object_applier::upstream_change store_object_applier::ApplyRecord(
    const stored_object& object, const upstream_record& record,
    const std::optional<earlier_process>& before, monotonic_time now) {
  if (directory_.IsOfEarlierProcess(record)) {
    KeepEarlierProcess(object, record, before, now);
    return upstream_change::kEarlierProcess;
  }
  if (deferred_until_.has_value() && directory_.IsRemoved(record)) {
    deferred_upstreams_[object.name] = object;
    return upstream_change::kDeferred;
  }
  if (!directory_.Update(record, now)) return upstream_change::kOutdated;
  return record.leaving ? upstream_change::kDraining : upstream_change::kReady;
}

std::optional<store_object_applier::earlier_process>
store_object_applier::TakeEarlierProcess(const std::string& name) {
  const auto found = earlier_processes_.find(name);
  if (found == earlier_processes_.end()) return std::nullopt;
  earlier_process taken = std::move(found->second);
  earlier_processes_.erase(found);
  return taken;
}

// Further reports of the process give it no longer to wait. One that leaves is
// believed in any case before the drain time is over, and has proved nothing.
void store_object_applier::KeepEarlierProcess(
    const stored_object& object, const upstream_record& record,
    const std::optional<earlier_process>& before, monotonic_time now) {
  monotonic_time until =
      record.leaving ? directory_.LeavingSince(now) + directory_.DrainTime()
                     : now + kProofTime;
  const bool goes_on = before.has_value() &&
                       before->record.start_time_ms == record.start_time_ms;
  if (goes_on && (record.leaving || !before->record.leaving)) {
    until = std::min(until, before->until);
  }
  earlier_processes_[object.name] = {object, record, until};
}

// While the copy may be behind the store, it does not tell that an entry still
// stands.
void store_object_applier::ApplyEarlierProcesses(monotonic_time now) {
  std::vector<stored_object> proved;
  for (const auto& [name, each] : earlier_processes_) {
    const bool stands = each.record.leaving
                            ? now >= each.until
                            : directory_.ListConfirmedAt() >= each.until;
    if (!stands) continue;
    directory_.ForgetLaterProcess(each.record);
    proved.push_back(each.object);
  }
  if (!proved.empty()) OnUpstreams(proved);
}

void store_object_applier::OnUnreadableUpstream(const stored_object& object,
                                                const fault_list& faults) {
  ++unreadable_;
  if (++unreadable_lines_ > kMaxUnreadableLines) return;
  log_line line("upstream_unreadable");
  line.With("name", object.name.substr(0, kMaxLoggedNameBytes));
  if (!faults.empty()) {
    line.With("at", faults.front().pointer)
        .With("why", faults.front().message)
        .With("remedy", faults.front().remedy);
  }
  log_.Write(structured_log::kind::kEvent, line);
}

void store_object_applier::OnClosedDataCentres(
    const std::vector<stored_object>& objects) {
  for (const stored_object& each : objects) {
    deferred_openings_.erase(each.name);
    const bool is_closed = closed_data_centres_.count(each.name) != 0;
    const bool deferred =
        each.deleted && is_closed && deferred_until_.has_value();
    if (deferred) {
      deferred_openings_.insert(each.name);
    } else if (each.deleted) {
      closed_data_centres_.erase(each.name);
    } else {
      closed_data_centres_.insert(each.name);
    }
    log_.Write(structured_log::kind::kEvent,
               log_line(deferred       ? "data_centre_in_deferred"
                        : each.deleted ? "data_centre_in"
                                       : "data_centre_out")
                   .With("data_centre", each.name));
  }
  directory_.SetClosedDataCentres(closed_data_centres_);
}

void store_object_applier::OnNewEra(monotonic_time now) {
  deferred_until_ = now + kRewriteTime;
}

void store_object_applier::ApplyDeferred(monotonic_time now) {
  ApplyEarlierProcesses(now);
  if (!HasPassed(deferred_until_, now)) return;
  deferred_until_.reset();
  std::vector<stored_object> upstreams;
  for (auto& each : std::exchange(deferred_upstreams_, {}))
    upstreams.push_back(std::move(each.second));
  std::vector<stored_object> openings;
  for (const std::string& each : std::exchange(deferred_openings_, {}))
    openings.push_back({each, true});
  if (!upstreams.empty()) OnUpstreams(upstreams);
  if (!openings.empty()) OnClosedDataCentres(openings);
}

}  // namespace papayaglade
