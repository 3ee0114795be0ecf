#include "coordination/upstream_directory.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace papayaglade {

namespace {

// Of the time that an upstream goes on serving after it announced its leave;
// the rest covers how late the news and the last requests are.
constexpr double kLeaveShare = 0.7;
// An entry that lapsed with its store is back by then.
constexpr std::chrono::milliseconds kLongestLeave{2200};
// What makes an upstream less attractive, as factors of its expected time.
constexpr double kOtherDataCentre = 1.5;
constexpr double kCold = 2.5;
constexpr double kSuspect = 50;
constexpr double kLeaving = 1000;
constexpr double kFailureCost = 6;
// Upstreams hold connections of instances that lost power for some seconds
// more, while the new processes open theirs.
constexpr std::size_t kConnectionGenerations = 2;
// Instances that come and go leave some connections behind.
constexpr double kSafeConnections = 0.93;
// An upstream that this instance does not keep connections to.
constexpr double kNotKept = 30;
constexpr double kTieMargin = 1.02;
constexpr double kGapWeight = 0.2;  // Of the newest one.
constexpr double kMemoryRequests = 3;
constexpr std::chrono::seconds kLongestMemory{6};
constexpr std::chrono::seconds kWarmupWindow{1};
constexpr double kWarmupSafeShare = 0.7;
constexpr std::chrono::milliseconds kLeastWait{50};
constexpr std::chrono::milliseconds kLongestWait{1000};

bool SameProcess(const upstream_record& a, const upstream_record& b) {
  return a.address == b.address && a.service == b.service &&
         a.start_time_ms == b.start_time_ms;
}

}  // namespace

upstream_directory::upstream_directory(std::string data_centre,
                                       const shutdown_timeouts& bounds,
                                       const warmup_limits& warmup)
    : data_centre_(std::move(data_centre)),
      leave_time_(
          std::min(kLongestLeave,
                   std::chrono::milliseconds(static_cast<std::int64_t>(
                       kLeaveShare *
                       static_cast<double>(bounds.drain_timeout.count()))))),
      warmup_(warmup) {}

void upstream_directory::Update(const upstream_record& record,
                                monotonic_time now) {
  const auto found = upstreams_.find(record.id);
  if (found != upstreams_.end() &&
      !SameProcess(found->second->record, record)) {
    Forget(record.id);
  }
  upstream_pointer& known = upstreams_[record.id];
  if (known == nullptr) {
    known = std::make_shared<known_upstream>();
    auto& siblings = services_[record.service].upstreams;
    // In the order of ids, so that all instances number them alike.
    const auto place = std::find_if(siblings.begin(), siblings.end(),
                                    [&](const upstream_pointer& each) {
                                      return each->record.id > record.id;
                                    });
    siblings.insert(place, known);
  }
  known->record = record;
  known->warm_at = now + record.warmup_remaining;
  if (record.leaving) {
    StartLeaving(*known, now);
  } else {
    known->leaves_at.reset();
  }
}

void upstream_directory::Remove(const std::string& id, monotonic_time now) {
  const auto found = upstreams_.find(id);
  if (found != upstreams_.end()) StartLeaving(*found->second, now);
}

void upstream_directory::Forget(const std::string& id) {
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
  closed_ = std::move(closed);
}

void upstream_directory::SetCutDataCentres(std::set<std::string> cut) {
  for (const auto& each : upstreams_) {
    const std::string& data_centre = each.second->record.data_centre;
    // Its upstreams were blocked for the path's fault, not their own.
    if (cut_.count(data_centre) != 0 && cut.count(data_centre) == 0) {
      each.second->health.Unblock();
    }
  }
  cut_ = std::move(cut);
}

void upstream_directory::SetFleet(const fleet_position& fleet) {
  fleet_ = fleet;
  fleet_.instances = std::max<std::size_t>(1, fleet.instances);
}

upstream_pointer upstream_directory::Choose(const upstream_query& query,
                                            monotonic_time now) {
  const std::vector<upstream_pointer>& candidates = Of(*query.service);
  if (candidates.empty()) return nullptr;
  if (query.excluded->empty()) NoteRequest(*query.service, now);
  const connection_share share = ConnectionShare(*query.service);
  upstream_pointer best = Best(candidates, query, share.usual, now);
  if (best != nullptr || share.most == share.usual) return best;
  return Best(candidates, query, share.most, now);
}

// An instance that asks a service seldom would else forget what it learnt
// before it asks again.
void upstream_directory::NoteRequest(const std::string& service,
                                     monotonic_time now) {
  service_group& group = services_[service];
  if (group.last_request.has_value()) {
    // A pause of the callers tells little of how often they ask.
    const auto gap = std::min<std::chrono::duration<double>>(
        now - *group.last_request, kLongestMemory / kMemoryRequests);
    group.gap += kGapWeight * (gap - group.gap);
  }
  group.last_request = now;
  const std::chrono::duration<double> memory =
      std::clamp<std::chrono::duration<double>>(kMemoryRequests * group.gap,
                                                observed_health::kLeastMemory,
                                                kLongestMemory);
  for (const upstream_pointer& each : group.upstreams) {
    each->health.SetMemory(memory);
  }
}

upstream_pointer upstream_directory::Best(
    const std::vector<upstream_pointer>& candidates,
    const upstream_query& query, std::size_t most_pending, monotonic_time now) {
  upstream_pointer best;
  double least = 0;
  const std::vector<bool> kept = KeptAmong(*query.service, candidates);
  const std::size_t first = ++turn_ % candidates.size();
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const std::size_t place = (first + i) % candidates.size();
    const auto& each = candidates[place];
    if (!IsUsable(*each, now)) continue;
    if (each->health.Pending() >= most_pending) continue;
    const auto& excluded = *query.excluded;
    if (std::find(excluded.begin(), excluded.end(), each->record.id) !=
        excluded.end()) {
      continue;
    }
    double cost = Cost(*each, query, now);
    if (!kept[place]) cost *= kNotKept;
    if (best != nullptr && cost * kTieMargin >= least) continue;
    best = each;
    least = cost;
  }
  return best;
}

bool upstream_directory::MayAskAgain(const upstream_pointer& upstream,
                                     monotonic_time now) const {
  if (!Knows(upstream) || !IsUsable(*upstream, now)) return false;
  return upstream->health.Pending() <
         ConnectionShare(upstream->record.service).most;
}

bool upstream_directory::HasUsable(const std::string& service,
                                   monotonic_time now) const {
  const auto& upstreams = Of(service);
  return std::any_of(
      upstreams.begin(), upstreams.end(),
      [&](const upstream_pointer& each) { return IsUsable(*each, now); });
}

bool upstream_directory::Reachable(const std::string& service,
                                   monotonic_time now) const {
  const auto& upstreams = Of(service);
  return std::any_of(upstreams.begin(), upstreams.end(),
                     [&](const upstream_pointer& each) {
                       return MayAsk(*each, now) && !each->health.OnTrial();
                     });
}

std::vector<path_watch::sample> upstream_directory::PathSamples(
    monotonic_time now) const {
  std::map<std::string, path_watch::sample> samples;
  for (const auto& each : upstreams_) {
    const std::string& data_centre = each.second->record.data_centre;
    path_watch::sample& sample = samples[data_centre];
    sample.data_centre = data_centre;
    ++sample.upstreams;
    if (each.second->health.Overdue(now)) ++sample.overdue;
  }
  std::vector<path_watch::sample> result;
  result.reserve(samples.size());
  for (auto& each : samples) result.push_back(std::move(each.second));
  return result;
}

upstream_pointer upstream_directory::AnyOf(const std::string& data_centre) {
  std::vector<upstream_pointer> there;
  for (const auto& each : upstreams_) {
    if (each.second->record.data_centre == data_centre) {
      there.push_back(each.second);
    }
  }
  return there.empty() ? nullptr : there[++turn_ % there.size()];
}

std::chrono::milliseconds upstream_directory::UsableAfter(
    const std::string& service, monotonic_time now) const {
  std::chrono::milliseconds wait = kLongestWait;
  for (const upstream_pointer& each : Of(service)) {
    const auto blocked = std::chrono::duration_cast<std::chrono::milliseconds>(
        each->health.BlockedUntil() - now);
    wait = std::min(wait, std::max(blocked, kLeastWait));
  }
  return wait;
}

upstream_directory::connection_share upstream_directory::ConnectionShare(
    const std::string& service) const {
  const service_limits* limits = LimitsOf(service);
  if (limits == nullptr) return {};
  const std::size_t whole =
      std::max<std::size_t>(1, limits->connections / fleet_.instances);
  return {std::max<std::size_t>(1, whole / kConnectionGenerations), whole};
}

void upstream_directory::CountSent(known_upstream& upstream,
                                   monotonic_time now) {
  if (upstream.warm_at <= now) return;
  auto& sent = upstream.cold_requests;
  while (!sent.empty() && now - sent.front() >= kWarmupWindow) sent.pop_front();
  sent.push_back(now);
}

bool upstream_directory::Knows(const upstream_pointer& upstream) const {
  const auto found = upstreams_.find(upstream->record.id);
  return found != upstreams_.end() && found->second == upstream;
}

std::vector<std::string> upstream_directory::DropLeft(monotonic_time now) {
  std::vector<std::string> left;
  for (const auto& each : upstreams_) {
    const auto& leaves_at = each.second->leaves_at;
    if (leaves_at.has_value() && *leaves_at <= now) left.push_back(each.first);
  }
  for (const std::string& each : left) Forget(each);
  return left;
}

bool upstream_directory::MayAsk(const known_upstream& upstream,
                                monotonic_time now) const {
  if (upstream.leaves_at.has_value() && *upstream.leaves_at <= now) {
    return false;
  }
  if (closed_.count(upstream.record.data_centre) != 0) return false;
  if (cut_.count(upstream.record.data_centre) != 0) return false;
  return upstream.warm_at <= now || WithinWarmup(upstream, now);
}

bool upstream_directory::IsUsable(const known_upstream& upstream,
                                  monotonic_time now) const {
  return upstream.health.BlockedUntil() <= now && MayAsk(upstream, now);
}

const std::vector<upstream_pointer>& upstream_directory::Of(
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

bool upstream_directory::WithinWarmup(const known_upstream& upstream,
                                      monotonic_time now) const {
  const service_limits* limits = LimitsOf(upstream.record.service);
  if (limits == nullptr) return false;
  const double stated = limits->warmup_requests_per_second;
  if (stated <= 0) return true;
  const double share = kWarmupSafeShare *
                       (stated * warmup_.overshoot + warmup_.slack) /
                       static_cast<double>(fleet_.instances);
  const auto recent = std::count_if(
      upstream.cold_requests.begin(), upstream.cold_requests.end(),
      [&](monotonic_time sent) { return now - sent < kWarmupWindow; });
  return static_cast<double>(recent) + 1 <= share;
}

std::size_t upstream_directory::Kept(const std::string& service,
                                     std::size_t upstreams) const {
  const service_limits* limits = LimitsOf(service);
  if (limits == nullptr) return upstreams;
  const double connections = kSafeConnections *
                             static_cast<double>(limits->connections) *
                             static_cast<double>(upstreams);
  const auto each = static_cast<std::size_t>(
      connections / static_cast<double>(fleet_.instances));
  return std::clamp<std::size_t>(each, 1, upstreams);
}

std::vector<bool> upstream_directory::KeptAmong(
    const std::string& service,
    const std::vector<upstream_pointer>& candidates) const {
  const std::size_t count = candidates.size();
  std::size_t left = Kept(service, count);
  std::vector<bool> kept(count, left == count);
  if (left == count) return kept;
  for (std::size_t i = 0; i < count && left > 0; ++i) {
    if (candidates[i]->record.data_centre != data_centre_) continue;
    kept[i] = true;
    --left;
  }
  const std::size_t start =
      fleet_.index + std::hash<std::string>()(service) % count;
  for (std::size_t i = 0; i < count && left > 0; ++i) {
    const std::size_t place = (start + i) % count;
    if (kept[place]) continue;
    kept[place] = true;
    --left;
  }
  return kept;
}

double upstream_directory::Cost(const known_upstream& upstream,
                                const upstream_query& query,
                                monotonic_time now) const {
  const observed_health& health = upstream.health;
  const double slots =
      static_cast<double>(std::max<std::size_t>(1, upstream.record.slots));
  double cost = health.Slowness(now);
  cost *= 1 + static_cast<double>(health.Pending()) / slots;
  cost *= 1 + kFailureCost * health.FailureShare(now);
  if (upstream.record.data_centre != data_centre_) cost *= kOtherDataCentre;
  if (upstream.warm_at > now) cost *= kCold;
  const bool late = health.OldestPending(now) > query.suspect_after;
  if (late || (health.OnTrial() && health.Pending() > 0)) cost *= kSuspect;
  if (upstream.leaves_at.has_value()) cost *= kLeaving;
  return cost;
}

void upstream_directory::StartLeaving(known_upstream& upstream,
                                      monotonic_time now) const {
  if (!upstream.leaves_at.has_value()) upstream.leaves_at = now + leave_time_;
}

}  // namespace papayaglade
