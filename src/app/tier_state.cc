#include "app/tier_state.h"

#include <memory>
#include <utility>

namespace papayaglade {

namespace {

constexpr char kConfigurationName[] = "main";
// Of one change; more of them are counted in one line.
constexpr std::size_t kMostReadyLines = 20;

}  // namespace

tier_state::tier_state(const store_format& format, decision_log& log,
                       upstream_directory& directory, entry_service& service)
    : format_(format), log_(log), directory_(directory), service_(service) {}

void tier_state::OnChanges(stored_kind kind,
                           const std::vector<stored_object>& objects) {
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

void tier_state::OnConfiguration(const std::vector<stored_object>& objects) {
  for (const stored_object& each : objects) {
    if (each.name != kConfigurationName || each.deleted) continue;
    fault_list faults;
    auto decoded = format_.DecodeConfiguration(each, faults);
    if (!decoded.has_value()) {
      log_.Write(decision_log::kind::kEvent,
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

void tier_state::Apply(tier_configuration configuration) {
  if (configuration.version <= version_) return;
  log_.Write(
      decision_log::kind::kEvent,
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

void tier_state::OnUpstreams(const std::vector<stored_object>& objects) {
  const monotonic_time now = loop_context::Now();
  std::size_t ready = 0;
  for (const stored_object& each : objects) {
    std::optional<upstream_record> record;
    if (!each.deleted) record = DecodeUpstream(each);
    if (record.has_value()) {
      directory_.Update(*record, now);
    } else {
      directory_.Remove(each.name, now);
    }
    const bool is_ready = record.has_value() && !record->leaving;
    if (is_ready && ++ready > kMostReadyLines) continue;
    log_.Write(decision_log::kind::kEvent,
               log_line("upstream_changed")
                   .With("upstream", each.name)
                   .With("state", is_ready             ? "ready"
                                  : record.has_value() ? "draining"
                                                       : "gone"));
  }
  if (ready <= kMostReadyLines) return;
  log_.Write(decision_log::kind::kEvent,
             log_line("upstreams_listed")
                 .With("ready", static_cast<std::int64_t>(ready))
                 .With("known", static_cast<std::int64_t>(directory_.Size())));
}

std::optional<upstream_record> tier_state::DecodeUpstream(
    const stored_object& object) {
  auto record = format_.DecodeUpstream(object);
  if (!record.has_value()) {
    log_.Write(decision_log::kind::kEvent,
               log_line("upstream_unreadable").With("name", object.name));
  }
  return record;
}

void tier_state::OnClosedDataCentres(
    const std::vector<stored_object>& objects) {
  for (const stored_object& each : objects) {
    if (each.deleted) {
      closed_.erase(each.name);
    } else {
      closed_.insert(each.name);
    }
    log_.Write(decision_log::kind::kEvent,
               log_line(each.deleted ? "data_centre_in" : "data_centre_out")
                   .With("data_centre", each.name));
  }
  directory_.SetClosedDataCentres(closed_);
}

}  // namespace papayaglade
