#include "coordination/roster_keeper.h"

#include <algorithm>
#include <utility>

namespace papayaglade {

namespace {

using std::chrono::milliseconds;

// Changes that arrive within this time of each other share one write.
constexpr milliseconds kCoalesce{50};
// A rank's head start over the next: a write and the spread of its result.
constexpr milliseconds kRankStep{200};
constexpr milliseconds kLongestRankDelay{3000};
constexpr milliseconds kJitter{50};
constexpr milliseconds kFirstBackOff{500};
constexpr int kMostDoublings = 4;

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

roster_keeper::roster_keeper(roster_member self, std::string data_centre,
                             stewardship_timing timing, std::uint64_t seed)
    : self_(std::move(self)), timing_(timing), random_(seed) {
  newest_.data_centre = std::move(data_centre);
}

void roster_keeper::SetMembers(const std::vector<member>& members) {
  reports_.clear();
  for (const member& each : members) {
    reports_[each.identity.name].push_back(each);
  }
  changed_ = true;
}

void roster_keeper::SetUpstreams(std::uint64_t version,
                                 std::vector<assignable_upstream> upstreams) {
  configuration_version_ = version;
  upstreams_ = std::move(upstreams);
  changed_ = true;
}

void roster_keeper::Leave() {
  leaving_ = true;
  changed_ = true;
  due_.reset();
}

void roster_keeper::Adopt(const roster& newest, monotonic_time now) {
  newest_ = newest;
  std::map<std::uint64_t, monotonic_time> seen;
  for (const roster_member& each : newest.retired) {
    const auto known = retired_seen_.find(each.identity.incarnation);
    seen[each.identity.incarnation] =
        known == retired_seen_.end() ? now : known->second;
  }
  retired_seen_ = std::move(seen);
  refusals_ = 0;
  due_.reset();
  changed_ = true;
}

std::optional<roster> roster_keeper::NextWrite(monotonic_time now) {
  now_ = now;
  if (writing_) return std::nullopt;
  // Without a configuration the assignments cannot be known.
  if (configuration_version_ == 0 && !leaving_) return std::nullopt;
  if (changed_) {
    changed_ = false;
    roster desired = Desired();
    desired_.reset();
    if (Differs(desired)) desired_ = std::move(desired);
  }
  if (!desired_) {
    due_.reset();
    return std::nullopt;
  }
  if (!due_) due_ = now + Delay();
  if (now < *due_) return std::nullopt;
  writing_ = true;
  roster next = *desired_;
  next.writer = self_.identity.name + "/" +
                std::to_string(self_.identity.incarnation) + "/" +
                std::to_string(++writes_);
  return next;
}

void roster_keeper::WriteEnded(bool refused, monotonic_time now) {
  writing_ = false;
  changed_ = true;
  if (!refused) return;
  const int doublings = std::min(refusals_++, kMostDoublings);
  due_ = now + kFirstBackOff * (1 << doublings) + Delay();
}

roster roster_keeper::Desired() const {
  roster next = newest_;
  next.epoch = newest_.epoch + 1;
  next.members.clear();
  next.retired.clear();
  for (const roster_member& each : newest_.retired) {
    if (!IsGone(each) && !IsExpired(each)) next.retired.push_back(each);
  }
  std::vector<steward_assignment> kept = newest_.assignments;
  for (const roster_member& each : newest_.members) {
    if (!IsDropped(each)) {
      next.members.push_back(Described(each));
      continue;
    }
    if (!IsGone(each)) next.retired.push_back(each);
    // A new process of the same name is not the same steward.
    kept.erase(std::remove_if(kept.begin(), kept.end(),
                              [&each](const steward_assignment& assignment) {
                                return assignment.steward == each.identity.name;
                              }),
               kept.end());
  }
  for (roster_member& each : Joiners()) {
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

// An instance whose configuration is behind leaves the set of upstreams as it
// is; else two instances would undo each other's writes.
std::vector<assignable_upstream> roster_keeper::Upstreams() const {
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

// Another member may have listed this one before it knew all of it.
roster_member roster_keeper::Described(const roster_member& each) const {
  if (each.identity != self_.identity) return each;
  roster_member own = self_;
  own.joined_epoch = each.joined_epoch;
  return own;
}

bool roster_keeper::Differs(const roster& desired) const {
  return !SameMembers(newest_, desired) || !SameAssignments(newest_, desired);
}

// Silence alone never drops a member: membership has to say that it is dead,
// so one that only lacks the platform stays.
bool roster_keeper::IsDropped(const roster_member& each) const {
  if (each.identity == self_.identity) return leaving_;
  if (each.identity.name == self_.identity.name) return true;
  const member* report = Report(each.identity);
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

bool roster_keeper::IsGone(const roster_member& each) const {
  const member* report = Report(each.identity);
  if (report != nullptr && report->state == member_state::kDeadProven) {
    return true;
  }
  // Two processes cannot listen at one address, so one there replaced it.
  if (each.identity != self_.identity && each.peers == self_.peers) return true;
  const auto named = reports_.find(each.identity.name);
  if (named == reports_.end()) return false;
  return std::any_of(
      named->second.begin(), named->second.end(), [&each](const member& other) {
        return other.identity != each.identity && other.peers == each.peers &&
               other.state == member_state::kAlive;
      });
}

// Nobody outside the platform can have kept it proven for so long.
bool roster_keeper::IsExpired(const roster_member& each) const {
  const auto seen = retired_seen_.find(each.identity.incarnation);
  if (seen == retired_seen_.end()) return false;
  const milliseconds wait = WithClockMargin(
      timing_.peer_horizon + timing_.lease + timing_.longest_request);
  return now_ - seen->second > wait;
}

std::vector<roster_member> roster_keeper::Joiners() const {
  std::vector<roster_member> joiners;
  if (!leaving_ && !Contains(newest_.members, self_.identity)) {
    joiners.push_back(self_);
  }
  for (const auto& [name, members] : reports_) {
    if (name == self_.identity.name) continue;
    for (const member& each : members) {
      const bool known = Contains(newest_.members, each.identity) ||
                         Contains(newest_.retired, each.identity);
      // A retired process may be leaving; only it knows, so it joins itself.
      if (known || each.state != member_state::kAlive) continue;
      joiners.push_back({each.identity, each.peers, each.operators, 0});
    }
  }
  std::sort(joiners.begin(), joiners.end(), ByName);
  return joiners;
}

std::size_t roster_keeper::Rank() const {
  std::size_t rank = 0;
  const bool listed = Contains(newest_.members, self_.identity);
  for (const roster_member& each : newest_.members) {
    if (IsDropped(each)) continue;
    if (!listed || each.identity.name < self_.identity.name) ++rank;
  }
  if (listed) return rank;
  for (const roster_member& each : Joiners()) {
    if (each.identity.name < self_.identity.name) ++rank;
  }
  return rank;
}

milliseconds roster_keeper::Delay() {
  std::uniform_int_distribution<milliseconds::rep> jitter(0, kJitter.count());
  if (leaving_) return milliseconds(jitter(random_));
  const milliseconds by_rank = kRankStep * static_cast<int>(Rank());
  if (by_rank <= kLongestRankDelay) {
    return kCoalesce + by_rank + milliseconds(jitter(random_));
  }
  // Beyond the bound the ranks share one window instead of waiting longer.
  std::uniform_int_distribution<milliseconds::rep> window(
      kLongestRankDelay.count(), 2 * kLongestRankDelay.count());
  return milliseconds(window(random_));
}

const member* roster_keeper::Report(const instance_identity& identity) const {
  const auto named = reports_.find(identity.name);
  if (named == reports_.end()) return nullptr;
  for (const member& each : named->second) {
    if (each.identity == identity) return &each;
  }
  return nullptr;
}

}  // namespace papayaglade
