#include "coordination/upstream_directory.h"

#include <algorithm>
#include <utility>

#include "coordination/capacity_share.h"
#include "coordination/upstream_subset.h"

namespace papayaglade {

namespace {

using std::chrono::milliseconds;

// Share of the drain time of an upstream in which requests are still sent to
// it. The rest covers the delay of the announcement and of the last requests.
constexpr double kDrainShare = 0.7;
// Entries that lapsed during an outage of the store are back by then.
constexpr std::chrono::milliseconds kMaxDrainTime{2200};
// Factors on the expected time of an upstream.
constexpr double kOtherDataCentreFactor = 1.5;
constexpr double kColdFactor = 2.5;
constexpr double kSuspectFactor = 50;
constexpr double kFailureFactor = 6;
// Upstreams keep the connections of instances that lost power for some seconds,
// while the new processes already open theirs.
constexpr std::size_t kConnectionGenerations = 2;
// Factor for an upstream outside the subset that this instance keeps
// connections to.
constexpr double kOutsideSubsetFactor = 30;
constexpr double kTieMargin = 1.02;
// Weight of the newest interval in the moving average.
constexpr double kIntervalWeight = 0.2;
constexpr double kDecayTimeInRequests = 3;
constexpr std::chrono::seconds kMaxDecayTime{6};
constexpr std::chrono::seconds kWarmupWindow{1};
constexpr double kWarmupSafetyShare = 0.7;
constexpr std::chrono::milliseconds kMinRetryDelay{50};
constexpr std::chrono::milliseconds kMaxRetryDelay{1000};

}  // namespace

upstream_directory::upstream_directory(std::string data_centre,
                                       const shutdown_timeouts& bounds,
                                       const warmup_limits& warmup)
    : data_centre_(std::move(data_centre)),
      drain_time_(
          std::min(kMaxDrainTime,
                   std::chrono::milliseconds(static_cast<std::int64_t>(
                       kDrainShare *
                       static_cast<double>(bounds.drain_timeout.count()))))),
      warmup_(warmup) {}

bool upstream_directory::ApplyNotice(known_upstream& upstream,
                                     const upstream_notice& notice,
                                     monotonic_time now) {
  const bool leaves = notice.leaving && !upstream.announced_leaving;
  const milliseconds wait = notice.retry_after.value_or(milliseconds(0));
  if (!leaves && wait.count() == 0) return false;
  if (leaves) {
    upstream.announced_leaving = true;
    StartDraining(upstream, LeavingSince(now));
  }
  upstream.pause.Start(wait, fleet_, now);
  Remember(upstream);
  return true;
}

void upstream_directory::Remove(const std::string& id, monotonic_time now) {
  const auto found = upstreams_.find(id);
  if (found == upstreams_.end()) return;
  // Without a time, an optional compares as less.
  const bool may_have_lapsed = store_unavailable_at_ > list_confirmed_at_;
  known_upstream& upstream = *found->second;
  StartDraining(upstream, may_have_lapsed ? now : LeavingSince(now));
  if (may_have_lapsed) return;
  upstream.removed = true;
  Remember(upstream);
}

void upstream_directory::ConfirmList(monotonic_time time) {
  list_confirmed_at_ = time;
}

void upstream_directory::OnStoreUnavailable(monotonic_time time) {
  store_unavailable_at_ = time;
}

void upstream_directory::Erase(const std::string& id) {
  const auto found = upstreams_.find(id);
  if (found == upstreams_.end()) return;
  auto& siblings = services_[found->second->record.service].upstreams;
  siblings.erase(std::remove(siblings.begin(), siblings.end(), found->second),
                 siblings.end());
  if (siblings.empty()) services_.erase(found->second->record.service);
  upstreams_.erase(found);
}

void upstream_directory::SetConfiguration(
    std::shared_ptr<const tier_configuration> configuration) {
  configuration_ = std::move(configuration);
}

void upstream_directory::SetClosedDataCentres(std::set<std::string> closed) {
  closed_data_centres_ = std::move(closed);
}

void upstream_directory::SetUnreachableDataCentres(
    std::set<std::string> unreachable) {
  for (const auto& each : upstreams_) {
    const std::string& data_centre = each.second->record.data_centre;
    // Its upstreams were blocked because of the network path, not for a fault
    // of their own.
    if (unreachable_data_centres_.count(data_centre) != 0 &&
        unreachable.count(data_centre) == 0) {
      each.second->health.Unblock();
    }
  }
  unreachable_data_centres_ = std::move(unreachable);
}

void upstream_directory::SetFleet(const fleet_position& fleet) {
  fleet_ = fleet;
  fleet_.instances = std::max<std::size_t>(1, fleet.instances);
}

upstream_pointer upstream_directory::Choose(const upstream_criteria& criteria,
                                            monotonic_time now) {
  const std::vector<upstream_pointer>& candidates =
      UpstreamsOf(*criteria.service);
  if (candidates.empty()) return nullptr;
  if (criteria.excluded->empty()) RecordRequest(*criteria.service, now);
  upstream_pointer best =
      FindBest(candidates, criteria, share_limit::kPreferred, now);
  // A leaving upstream is asked only if no other one can be.
  const bool leaves = best != nullptr && best->IsLeaving();
  if (best != nullptr && !leaves) return best;
  const upstream_pointer other =
      FindBest(candidates, criteria, share_limit::kMaximum, now);
  return other == nullptr ? best : other;
}

// Without this, an instance that rarely asks a service would lose its
// observations before it asks again.
void upstream_directory::RecordRequest(const std::string& service,
                                       monotonic_time now) {
  service_group& group = services_[service];
  if (group.last_request_at.has_value()) {
    // A pause of the callers says little about their usual rate, so the
    // interval is bounded.
    const auto interval = std::min<std::chrono::duration<double>>(
        now - *group.last_request_at, kMaxDecayTime / kDecayTimeInRequests);
    group.mean_interval += kIntervalWeight * (interval - group.mean_interval);
  }
  group.last_request_at = now;
  const std::chrono::duration<double> decay_time =
      std::clamp<std::chrono::duration<double>>(
          kDecayTimeInRequests * group.mean_interval,
          observed_health::kMinDecayTime, kMaxDecayTime);
  for (const upstream_pointer& each : group.upstreams) {
    each->health.SetDecayTime(decay_time);
  }
}

upstream_pointer upstream_directory::FindBest(
    const std::vector<upstream_pointer>& candidates,
    const upstream_criteria& criteria, share_limit limit, monotonic_time now) {
  upstream_pointer best;
  bool best_leaves = false;
  double lowest_cost = 0;
  const std::vector<bool> in_subset = SelectSubset(
      candidates, LimitsOf(*criteria.service), data_centre_, fleet_);
  const std::size_t offset = ++rotation_ % candidates.size();
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const std::size_t position = (offset + i) % candidates.size();
    const auto& each = candidates[position];
    if (!IsUsable(*each, now)) continue;
    if (criteria.own_data_centre_only &&
        each->record.data_centre != data_centre_) {
      continue;
    }
    if (each->health.PendingCount() >= MaxPending(*each, limit)) continue;
    const auto& excluded = *criteria.excluded;
    if (std::find(excluded.begin(), excluded.end(), each->record.id) !=
        excluded.end()) {
      continue;
    }
    double cost = Cost(*each, criteria, now);
    if (!in_subset[position]) cost *= kOutsideSubsetFactor;
    const bool leaves = each->IsLeaving();
    if (best != nullptr) {
      const bool is_cheaper = cost * kTieMargin < lowest_cost;
      const bool is_better = leaves == best_leaves ? is_cheaper : best_leaves;
      if (!is_better) continue;
    }
    best = each;
    best_leaves = leaves;
    lowest_cost = cost;
  }
  return best;
}

bool upstream_directory::CanRetry(const upstream_pointer& upstream,
                                  monotonic_time now) const {
  if (!Contains(upstream) || !IsUsable(*upstream, now)) return false;
  return upstream->health.PendingCount() <
         MaxPending(*upstream, share_limit::kMaximum);
}

std::size_t upstream_directory::MaxPending(const known_upstream& upstream,
                                           share_limit limit) const {
  const connection_share share =
      ConnectionShare(upstream.record.service, upstream.record.data_centre);
  return std::min(
      limit == share_limit::kMaximum ? share.maximum : share.preferred,
      upstream.pause.MaxPending());
}

bool upstream_directory::HasUsable(const std::string& service,
                                   monotonic_time now) const {
  const auto& upstreams = UpstreamsOf(service);
  return std::any_of(
      upstreams.begin(), upstreams.end(),
      [&](const upstream_pointer& each) { return IsUsable(*each, now); });
}

bool upstream_directory::HasReachable(const std::string& service,
                                      monotonic_time now) const {
  const auto& upstreams = UpstreamsOf(service);
  return std::any_of(
      upstreams.begin(), upstreams.end(), [&](const upstream_pointer& each) {
        return IsEligible(*each, now) && !each->health.IsOnProbation();
      });
}

std::vector<reachability_monitor::sample>
upstream_directory::ReachabilitySamples(monotonic_time now) const {
  std::map<std::string, reachability_monitor::sample> samples;
  for (const auto& each : upstreams_) {
    const std::string& data_centre = each.second->record.data_centre;
    reachability_monitor::sample& sample = samples[data_centre];
    sample.data_centre = data_centre;
    ++sample.upstreams;
    if (each.second->health.HasOverdue(now)) ++sample.overdue;
  }
  std::vector<reachability_monitor::sample> result;
  result.reserve(samples.size());
  for (auto& each : samples) result.push_back(std::move(each.second));
  return result;
}

upstream_pointer upstream_directory::NextUpstreamIn(
    const std::string& data_centre, monotonic_time now) {
  std::vector<upstream_pointer> in_data_centre;
  for (const auto& each : upstreams_) {
    if (each.second->record.data_centre == data_centre &&
        each.second->pause.Until() <= now) {
      in_data_centre.push_back(each.second);
    }
  }
  return in_data_centre.empty()
             ? nullptr
             : in_data_centre[++rotation_ % in_data_centre.size()];
}

std::chrono::milliseconds upstream_directory::TimeUntilUsable(
    const std::string& service, monotonic_time now) const {
  std::optional<milliseconds> shortest;
  for (const upstream_pointer& each : UpstreamsOf(service)) {
    if (each->HasLeft(now)) continue;
    const auto blocked =
        std::chrono::ceil<milliseconds>(each->health.BlockedUntil() - now);
    const auto paused =
        std::chrono::ceil<milliseconds>(each->pause.Until() - now);
    const milliseconds delay =
        std::max({kMinRetryDelay, std::min(blocked, kMaxRetryDelay), paused});
    shortest = std::min(delay, shortest.value_or(delay));
  }
  return shortest.value_or(kMaxRetryDelay);
}

upstream_directory::connection_share upstream_directory::ConnectionShare(
    const std::string& service, const std::string& data_centre) const {
  const service_limits* limits = LimitsOf(service);
  if (limits == nullptr) return {};
  const auto maximum_share =
      std::max<std::size_t>(1, static_cast<std::size_t>(CapacityShare(
                                   static_cast<double>(limits->connections),
                                   data_centre, data_centre_, fleet_)));
  return {std::max<std::size_t>(1, maximum_share / kConnectionGenerations),
          maximum_share};
}

void upstream_directory::CountSent(known_upstream& upstream,
                                   monotonic_time now) {
  if (upstream.warm_at <= now) return;
  auto& sent = upstream.cold_request_times;
  while (!sent.empty() && now - sent.front() >= kWarmupWindow) sent.pop_front();
  sent.push_back(now);
}

bool upstream_directory::Contains(const upstream_pointer& upstream) const {
  const auto found = upstreams_.find(upstream->record.id);
  return found != upstreams_.end() && found->second == upstream;
}

std::vector<std::string> upstream_directory::EraseDrained(monotonic_time now) {
  std::vector<std::string> drained;
  for (const auto& each : upstreams_) {
    if (each.second->HasLeft(now)) drained.push_back(each.first);
  }
  for (const std::string& each : drained) Erase(each);
  return drained;
}

bool upstream_directory::IsEligible(const known_upstream& upstream,
                                    monotonic_time now) const {
  if (upstream.HasLeft(now)) return false;
  if (closed_data_centres_.count(upstream.record.data_centre) != 0)
    return false;
  if (unreachable_data_centres_.count(upstream.record.data_centre) != 0)
    return false;
  return upstream.warm_at <= now || IsWithinWarmupRate(upstream, now);
}

bool upstream_directory::IsUsable(const known_upstream& upstream,
                                  monotonic_time now) const {
  return upstream.health.BlockedUntil() <= now &&
         upstream.pause.Until() <= now && IsEligible(upstream, now);
}

const std::vector<upstream_pointer>& upstream_directory::UpstreamsOf(
    const std::string& service) const {
  static const std::vector<upstream_pointer> none;
  const auto found = services_.find(service);
  return found == services_.end() ? none : found->second.upstreams;
}

const service_limits* upstream_directory::LimitsOf(
    const std::string& service) const {
  if (configuration_ == nullptr) return nullptr;
  const auto found = configuration_->services.find(service);
  return found == configuration_->services.end() ? nullptr : &found->second;
}

bool upstream_directory::IsWithinWarmupRate(const known_upstream& upstream,
                                            monotonic_time now) const {
  const service_limits* limits = LimitsOf(upstream.record.service);
  if (limits == nullptr) return false;
  const double rate = limits->warmup_requests_per_second;
  if (rate <= 0) return true;
  const double share =
      kWarmupSafetyShare *
      CapacityShare(rate * warmup_.overshoot + warmup_.slack,
                    upstream.record.data_centre, data_centre_, fleet_);
  const auto recent_requests = std::count_if(
      upstream.cold_request_times.begin(), upstream.cold_request_times.end(),
      [&](monotonic_time sent) { return now - sent < kWarmupWindow; });
  return static_cast<double>(recent_requests) + 1 <= share;
}

double upstream_directory::Cost(const known_upstream& upstream,
                                const upstream_criteria& criteria,
                                monotonic_time now) const {
  const observed_health& health = upstream.health;
  const double slots =
      static_cast<double>(std::max<std::size_t>(1, upstream.record.slots));
  double cost = health.Slowness(now);
  cost *= 1 + static_cast<double>(health.PendingCount()) / slots;
  cost *= 1 + kFailureFactor * health.FailureShare(now);
  if (upstream.record.data_centre != data_centre_)
    cost *= kOtherDataCentreFactor;
  if (upstream.warm_at > now) cost *= kColdFactor;
  const bool late = health.OldestPendingAge(now) > criteria.suspect_after;
  if (late || (health.IsOnProbation() && health.PendingCount() > 0))
    cost *= kSuspectFactor;
  return cost;
}

monotonic_time upstream_directory::LeavingSince(monotonic_time now) const {
  return std::min(now, list_confirmed_at_.value_or(now - drain_time_));
}

void upstream_directory::StartDraining(known_upstream& upstream,
                                       monotonic_time since) const {
  if (!upstream.IsLeaving()) upstream.usable_until = since + drain_time_;
}

}  // namespace papayaglade
