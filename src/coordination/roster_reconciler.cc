#include "coordination/roster_reconciler.h"

#include <algorithm>
#include <utility>

namespace papayaglade {

namespace {

using std::chrono::milliseconds;

// Changes that arrive within this time of each other share one write.
constexpr milliseconds kCoalescingDelay{50};
// Delay between consecutive ranks: long enough for a write to complete and its
// result to reach the other members.
constexpr milliseconds kDelayPerRank{200};
constexpr milliseconds kMaxRankDelay{3000};
constexpr milliseconds kMaxJitter{50};
constexpr milliseconds kInitialBackoff{500};
constexpr int kMaxBackoffDoublings = 4;

bool ByName(const roster_member& a, const roster_member& b) {
  return a.identity.name < b.identity.name;
}

bool Contains(const std::vector<roster_member>& members,
              const instance_identity& identity) {
  return std::any_of(members.begin(), members.end(),
                     [&identity](const roster_member& each) {
                       return each.identity == identity;
                     });
}

bool SameMembers(const roster& a, const roster& b) {
  if (a.members.size() != b.members.size()) return false;
  return std::all_of(
      a.members.begin(), a.members.end(), [&b](const roster_member& each) {
        return std::any_of(b.members.begin(), b.members.end(),
                           [&each](const roster_member& other) {
                             return other.identity == each.identity &&
                                    other.operators == each.operators;
                           });
      });
}

bool SameAssignments(const roster& a, const roster& b) {
  std::map<std::string, const steward_assignment*> known;
  for (const steward_assignment& each : a.assignments) {
    known[each.upstream] = &each;
  }
  if (known.size() != b.assignments.size()) return false;
  return std::all_of(b.assignments.begin(), b.assignments.end(),
                     [&known](const steward_assignment& each) {
                       const auto found = known.find(each.upstream);
                       return found != known.end() &&
                              found->second->steward == each.steward &&
                              found->second->since_epoch == each.since_epoch;
                     });
}

}  // namespace

roster_reconciler::roster_reconciler(roster_member self,
                                     std::string data_centre,
                                     stewardship_timing timing,
                                     std::uint64_t seed)
    : self_(std::move(self)), timing_(timing), random_(seed) {
  newest_.data_centre = std::move(data_centre);
}

void roster_reconciler::SetMembers(const std::vector<member>& members) {
  reports_.clear();
  for (const member& each : members) {
    reports_[each.identity.name].push_back(each);
  }
  inputs_changed_ = true;
}

void roster_reconciler::SetUpstreams(
    std::uint64_t version, std::vector<assignable_upstream> upstreams) {
  configuration_version_ = version;
  upstreams_ = std::move(upstreams);
  inputs_changed_ = true;
}

void roster_reconciler::Leave() {
  leaving_ = true;
  inputs_changed_ = true;
  write_due_at_.reset();
}

void roster_reconciler::ApplyRoster(const roster& newest, monotonic_time now) {
  newest_ = newest;
  std::map<std::uint64_t, monotonic_time> seen;
  for (const roster_member& each : newest.retired) {
    const auto known = retired_since_.find(each.identity.incarnation);
    seen[each.identity.incarnation] =
        known == retired_since_.end() ? now : known->second;
  }
  retired_since_ = std::move(seen);
  failed_writes_ = 0;
  write_due_at_.reset();
  inputs_changed_ = true;
}

std::optional<roster> roster_reconciler::NextWrite(monotonic_time now) {
  now_ = now;
  if (write_in_flight_) return std::nullopt;
  // Without a configuration the assignments are unknown.
  if (configuration_version_ == 0 && !leaving_) return std::nullopt;
  if (inputs_changed_) {
    inputs_changed_ = false;
    roster desired = ComputeDesired();
    desired_.reset();
    if (DiffersFromNewest(desired)) desired_ = std::move(desired);
  }
  if (!desired_) {
    write_due_at_.reset();
    return std::nullopt;
  }
  if (!write_due_at_) write_due_at_ = now + WriteDelay();
  if (now < *write_due_at_) return std::nullopt;
  write_in_flight_ = true;
  roster next = *desired_;
  next.writer = self_.identity.name + "/" +
                std::to_string(self_.identity.incarnation) + "/" +
                std::to_string(++write_count_);
  return next;
}

void roster_reconciler::OnWriteCompleted(bool failed, monotonic_time now) {
  write_in_flight_ = false;
  inputs_changed_ = true;
  if (!failed) return;
  const int doublings = std::min(failed_writes_++, kMaxBackoffDoublings);
  write_due_at_ = now + kInitialBackoff * (1 << doublings) + WriteDelay();
}

roster roster_reconciler::ComputeDesired() const {
  roster next = newest_;
  next.epoch = newest_.epoch + 1;
  next.members.clear();
  next.retired.clear();
  for (const roster_member& each : newest_.retired) {
    if (!IsTerminated(each) && !IsRetirementExpired(each))
      next.retired.push_back(each);
  }
  std::vector<steward_assignment> kept = newest_.assignments;
  for (const roster_member& each : newest_.members) {
    if (!ShouldRemove(each)) {
      next.members.push_back(WithCurrentDetails(each));
      continue;
    }
    if (!IsTerminated(each)) next.retired.push_back(each);
    // A new process with the same name is not the same steward.
    kept.erase(std::remove_if(kept.begin(), kept.end(),
                              [&each](const steward_assignment& assignment) {
                                return assignment.steward == each.identity.name;
                              }),
               kept.end());
  }
  for (roster_member& each : NewMembers()) {
    each.joined_epoch = next.epoch;
    next.members.push_back(std::move(each));
  }
  next.retired.erase(std::remove_if(next.retired.begin(), next.retired.end(),
                                    [&next](const roster_member& each) {
                                      return Contains(next.members,
                                                      each.identity);
                                    }),
                     next.retired.end());
  std::sort(next.members.begin(), next.members.end(), ByName);
  std::vector<std::string> names;
  for (const roster_member& each : next.members) {
    names.push_back(each.identity.name);
  }
  next.configuration_version =
      std::max(configuration_version_, newest_.configuration_version);
  next.assignments = AssignStewards(Upstreams(), names, kept, next.epoch);
  return next;
}

// An instance with an outdated configuration keeps the set of upstreams of the
// newest roster. Otherwise, two instances would undo each other's writes.
std::vector<assignable_upstream> roster_reconciler::Upstreams() const {
  if (configuration_version_ >= newest_.configuration_version) {
    return upstreams_;
  }
  std::map<std::string, std::string> services;
  for (const assignable_upstream& each : upstreams_) {
    services[each.name] = each.service;
  }
  std::vector<assignable_upstream> result;
  for (const steward_assignment& each : newest_.assignments) {
    result.push_back({services[each.upstream], each.upstream});
  }
  return result;
}

// Another member may have listed this instance before it knew all its details.
roster_member roster_reconciler::WithCurrentDetails(
    const roster_member& each) const {
  if (each.identity != self_.identity) return each;
  roster_member own = self_;
  own.joined_epoch = each.joined_epoch;
  return own;
}

bool roster_reconciler::DiffersFromNewest(const roster& desired) const {
  return !SameMembers(newest_, desired) || !SameAssignments(newest_, desired);
}

// A member that only stops answering is not removed. Membership has to declare
// it dead, so a member that only cannot reach the platform stays.
bool roster_reconciler::ShouldRemove(const roster_member& each) const {
  if (each.identity == self_.identity) return leaving_;
  if (each.identity.name == self_.identity.name) return true;
  const member* report = FindReport(each.identity);
  if (report != nullptr) {
    return report->state == member_state::kDeadUnproven ||
           report->state == member_state::kDeadProven ||
           report->state == member_state::kLeft;
  }
  const auto others = reports_.find(each.identity.name);
  if (others == reports_.end()) return false;
  return std::any_of(
      others->second.begin(), others->second.end(),
      [](const member& other) { return other.state == member_state::kAlive; });
}

bool roster_reconciler::IsTerminated(const roster_member& each) const {
  const member* report = FindReport(each.identity);
  if (report != nullptr && report->state == member_state::kDeadProven) {
    return true;
  }
  // Two processes cannot listen on one address, so another process that listens
  // there has replaced this one.
  if (each.identity != self_.identity && each.peers == self_.peers) return true;
  const auto named = reports_.find(each.identity.name);
  if (named == reports_.end()) return false;
  return std::any_of(
      named->second.begin(), named->second.end(), [&each](const member& other) {
        return other.identity != each.identity && other.peers == each.peers &&
               other.state == member_state::kAlive;
      });
}

// Confirmations from peers cannot have kept the process proven for this long.
bool roster_reconciler::IsRetirementExpired(const roster_member& each) const {
  const auto seen = retired_since_.find(each.identity.incarnation);
  if (seen == retired_since_.end()) return false;
  const milliseconds wait = WithClockMargin(
      timing_.max_peer_proof_time + timing_.lease + timing_.max_request_time);
  return now_ - seen->second > wait;
}

std::vector<roster_member> roster_reconciler::NewMembers() const {
  std::vector<roster_member> new_members;
  if (!leaving_ && !Contains(newest_.members, self_.identity)) {
    new_members.push_back(self_);
  }
  for (const auto& [name, members] : reports_) {
    if (name == self_.identity.name) continue;
    for (const member& each : members) {
      const bool known = Contains(newest_.members, each.identity) ||
                         Contains(newest_.retired, each.identity);
      // A retired process may be leaving. Only the process itself knows, so it
      // adds itself if it is not.
      if (known || each.state != member_state::kAlive) continue;
      new_members.push_back({each.identity, each.peers, each.operators, 0});
    }
  }
  std::sort(new_members.begin(), new_members.end(), ByName);
  return new_members;
}

std::size_t roster_reconciler::WriterRank() const {
  std::size_t rank = 0;
  const bool listed = Contains(newest_.members, self_.identity);
  for (const roster_member& each : newest_.members) {
    if (ShouldRemove(each)) continue;
    if (!listed || each.identity.name < self_.identity.name) ++rank;
  }
  if (listed) return rank;
  for (const roster_member& each : NewMembers()) {
    if (each.identity.name < self_.identity.name) ++rank;
  }
  return rank;
}

milliseconds roster_reconciler::WriteDelay() {
  std::uniform_int_distribution<milliseconds::rep> jitter(0,
                                                          kMaxJitter.count());
  if (leaving_) return milliseconds(jitter(random_));
  const milliseconds by_rank = kDelayPerRank * static_cast<int>(WriterRank());
  if (by_rank <= kMaxRankDelay) {
    return kCoalescingDelay + by_rank + milliseconds(jitter(random_));
  }
  // Ranks beyond the maximum delay share one random window instead of waiting
  // longer.
  std::uniform_int_distribution<milliseconds::rep> window(
      kMaxRankDelay.count(), 2 * kMaxRankDelay.count());
  return milliseconds(window(random_));
}

const member* roster_reconciler::FindReport(
    const instance_identity& identity) const {
  const auto named = reports_.find(identity.name);
  if (named == reports_.end()) return nullptr;
  for (const member& each : named->second) {
    if (each.identity == identity) return &each;
  }
  return nullptr;
}

}  // namespace papayaglade
