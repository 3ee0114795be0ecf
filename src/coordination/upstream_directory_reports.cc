#include <algorithm>
#include <memory>

#include "coordination/upstream_directory.h"

namespace papayaglade {

namespace {

bool IsSameProcess(const upstream_record& a, const upstream_record& b) {
  return a.address == b.address && a.service == b.service &&
         a.start_time_ms == b.start_time_ms;
}

}  // namespace

// A report may be executed late by the store, or come back with an older state
// of it. It says nothing about the time after a later report.
bool upstream_directory::Update(const upstream_record& record,
                                monotonic_time now) {
  const auto last = LastReport(record);
  const bool outdated = last.has_value() && record.sequence < last->sequence;
  if (outdated && !record.leaving) return false;
  const auto found = upstreams_.find(record.id);
  if (found != upstreams_.end() &&
      !IsSameProcess(found->second->record, record)) {
    Erase(record.id);
  }
  // How long it has been leaving is unknown. It may be an upstream whose drain
  // time is over.
  const bool is_new = upstreams_.count(record.id) == 0;
  const upstream_restriction* restriction =
      is_new ? restrictions_.Find(record) : nullptr;
  if (record.leaving && is_new) {
    RememberLeaving(record, restriction);
    return true;
  }
  if (restriction != nullptr && restriction->HasLeft(now)) return true;
  upstream_pointer& known = upstreams_[record.id];
  if (is_new) {
    known = std::make_shared<known_upstream>();
    if (restriction != nullptr) {
      known->usable_until = restriction->usable_until;
      known->announced_leaving = restriction->usable_until.has_value();
      known->pause = restriction->pause;
    }
    auto& siblings = services_[record.service].upstreams;
    // Sorted by id, so that all instances number the upstreams alike.
    const auto position = std::find_if(siblings.begin(), siblings.end(),
                                       [&](const upstream_pointer& each) {
                                         return each->record.id > record.id;
                                       });
    siblings.insert(position, known);
  }
  known->record = record;
  if (outdated) known->record.sequence = last->sequence;
  known->removed = false;
  known->warm_at = now + record.warmup_remaining;
  if (record.leaving) {
    StartDraining(*known, LeavingSince(now));
    Remember(*known);
  } else if (!known->announced_leaving) {
    known->usable_until.reset();
  }
  return true;
}

std::optional<upstream_directory::last_report> upstream_directory::LastReport(
    const upstream_record& record) const {
  if (record.start_time_ms == 0) return std::nullopt;
  const auto found = upstreams_.find(record.id);
  if (found != upstreams_.end() &&
      IsSameProcess(found->second->record, record)) {
    return last_report{found->second->record.sequence, found->second->removed};
  }
  const upstream_restriction* restriction = restrictions_.Find(record);
  if (restriction == nullptr) return std::nullopt;
  return last_report{restriction->sequence, restriction->removed};
}

bool upstream_directory::IsRemoved(const upstream_record& record) const {
  const auto last = LastReport(record);
  return last.has_value() && last->removed && record.sequence <= last->sequence;
}

void upstream_directory::RememberLeaving(const upstream_record& record,
                                         const upstream_restriction* before) {
  if (record.start_time_ms == 0) return;
  upstream_restriction restriction;
  if (before != nullptr) restriction = *before;
  restriction.sequence = std::max(restriction.sequence, record.sequence);
  restrictions_.Remember(record, restriction);
}

void upstream_directory::Remember(const known_upstream& upstream) {
  upstream_restriction restriction;
  if (upstream.announced_leaving)
    restriction.usable_until = upstream.usable_until;
  restriction.pause = upstream.pause;
  restriction.sequence = upstream.record.sequence;
  restriction.removed = upstream.removed;
  restrictions_.Remember(upstream.record, restriction);
}

bool upstream_directory::IsOfEarlierProcess(
    const upstream_record& record) const {
  if (record.start_time_ms == 0) return false;
  std::int64_t known = restrictions_.StartTime(record.id);
  const auto found = upstreams_.find(record.id);
  if (found != upstreams_.end())
    known = std::max(known, found->second->record.start_time_ms);
  return record.start_time_ms < known;
}

void upstream_directory::ForgetLaterProcess(const upstream_record& record) {
  Erase(record.id);
  restrictions_.Replace(record);
}

}  // namespace papayaglade
