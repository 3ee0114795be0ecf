#include "app/store_object_applier.h"

#include <memory>
#include <utility>

namespace papayaglade {

namespace {

constexpr char kConfigurationName[] = "main";
// Maximum number of log lines about ready upstreams for one change. If there
// are more, one further line holds their number.
constexpr std::size_t kMaxReadyLines = 20;

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
  if (configuration.version <= version_) return;
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

void store_object_applier::OnUpstreams(
    const std::vector<stored_object>& objects) {
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
    if (is_ready && ++ready > kMaxReadyLines) continue;
    log_.Write(structured_log::kind::kEvent,
               log_line("upstream_changed")
                   .With("upstream", each.name)
                   .With("state", is_ready             ? "ready"
                                  : record.has_value() ? "draining"
                                                       : "gone"));
  }
  if (ready <= kMaxReadyLines) return;
  log_.Write(structured_log::kind::kEvent,
             log_line("upstreams_listed")
                 .With("ready", static_cast<std::int64_t>(ready))
                 .With("known", static_cast<std::int64_t>(directory_.Size())));
}

std::optional<upstream_record> store_object_applier::DecodeUpstream(
    const stored_object& object) {
  auto record = format_.DecodeUpstream(object);
  if (!record.has_value()) {
    log_.Write(structured_log::kind::kEvent,
               log_line("upstream_unreadable").With("name", object.name));
  }
  return record;
}

void store_object_applier::OnClosedDataCentres(
    const std::vector<stored_object>& objects) {
  for (const stored_object& each : objects) {
    if (each.deleted) {
      closed_data_centres_.erase(each.name);
    } else {
      closed_data_centres_.insert(each.name);
    }
    log_.Write(structured_log::kind::kEvent,
               log_line(each.deleted ? "data_centre_in" : "data_centre_out")
                   .With("data_centre", each.name));
  }
  directory_.SetClosedDataCentres(closed_data_centres_);
}

}  // namespace papayaglade
