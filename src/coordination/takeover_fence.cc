#include "coordination/takeover_fence.h"

#include <algorithm>
#include <utility>

namespace papayaglade {

namespace {

// Nobody can have been steward before the first roster.
constexpr std::uint64_t kFirstEpoch = 1;

bool Lists(const roster& value, const instance_identity& identity) {
  const auto is_it = [&identity](const roster_member& each) {
    return each.identity == identity;
  };
  return std::any_of(value.members.begin(), value.members.end(), is_it) ||
         std::any_of(value.retired.begin(), value.retired.end(), is_it);
}

}  // namespace

void takeover_fence::Adopt(const roster& newest, monotonic_time now) {
  AdoptRivals(newest, now);
  AdoptUpstreams(newest, now);
}

void takeover_fence::AdoptRivals(const roster& newest, monotonic_time now) {
  std::uint64_t joined = 0;
  std::map<std::uint64_t, rival> rivals;
  const auto keep = [&](const roster_member& each, bool retired) {
    if (each.identity == self_) return;
    rival& kept = rivals[each.identity.incarnation];
    const auto known = rivals_.find(each.identity.incarnation);
    if (known != rivals_.end()) kept = known->second;
    // One that comes back had only been forgotten after the longest wait.
    if (std::exchange(kept.unlisted, false)) kept.gone_at.reset();
    kept.member = each;
    kept.retired = retired;
  };
  for (const roster_member& each : newest.retired) keep(each, true);
  for (const roster_member& each : newest.members) {
    if (each.identity == self_) joined = each.joined_epoch;
    keep(each, false);
  }
  // A process that no list names any more has been proven gone, but what it
  // sent may still run.
  const auto run_out = WithClockMargin(timing_.longest_request);
  for (const auto& [incarnation, known] : rivals_) {
    if (known.gone_at && *known.gone_at + run_out <= now) continue;
    rival& ended = rivals.emplace(incarnation, known).first->second;
    if (Lists(newest, ended.member.identity)) continue;
    ended.retired = true;
    ended.unlisted = true;
    ended.gone_at = ended.gone_at.value_or(now);
  }
  rivals_ = std::move(rivals);
  if (joined == joined_epoch_) return;
  joined_epoch_ = joined;
  // While this instance was out, rivals may have stopped asking it.
  for (auto& [incarnation, each] : rivals_) each.counts_self_since.reset();
}

void takeover_fence::AdoptUpstreams(const roster& newest, monotonic_time now) {
  std::map<std::string, gained_upstream> own;
  if (joined_epoch_ != 0) {
    for (const steward_assignment& each : newest.assignments) {
      if (each.steward != self_.name) continue;
      const auto known = own_.find(each.upstream);
      const bool same =
          known != own_.end() && known->second.since_epoch == each.since_epoch;
      own[each.upstream] =
          same ? known->second : gained_upstream{each.since_epoch, now, false};
    }
  }
  own_ = std::move(own);
}

void takeover_fence::MarkGone(const instance_identity& process,
                              monotonic_time now) {
  const auto found = rivals_.find(process.incarnation);
  if (found == rivals_.end() || found->second.gone_at) return;
  found->second.gone_at = now;
}

void takeover_fence::OnAnswer(const instance_identity& rival,
                              std::uint64_t epoch, std::uint64_t released_epoch,
                              monotonic_time now) {
  const auto found = rivals_.find(rival.incarnation);
  if (found == rivals_.end()) return;
  const bool counts_self = joined_epoch_ != 0 && epoch >= joined_epoch_;
  if (counts_self && !found->second.counts_self_since) {
    found->second.counts_self_since = now;
  }
  if (released_epoch <= found->second.released_epoch) return;
  found->second.released_epoch = released_epoch;
  found->second.released_at = now;
}

bool takeover_fence::OnHandover(const std::string& upstream,
                                std::uint64_t epoch) {
  const auto found = own_.find(upstream);
  if (found == own_.end() || epoch < found->second.since_epoch) return false;
  if (found->second.handed_over) return false;
  found->second.handed_over = true;
  return true;
}

std::optional<monotonic_time> takeover_fence::ClearAt(
    const std::string& upstream) const {
  const auto found = own_.find(upstream);
  if (found == own_.end()) return std::nullopt;
  return ClearAt(found->second);
}

// What a process that has ended left running at an upstream ends first.
std::vector<instance_identity> takeover_fence::Confirmers(
    monotonic_time now) const {
  std::vector<instance_identity> result;
  const auto run_out = WithClockMargin(timing_.longest_request);
  for (const auto& [incarnation, other] : rivals_) {
    const bool ended = other.gone_at && *other.gone_at + run_out < now;
    if (!other.retired && !ended) result.push_back(other.member.identity);
  }
  return result;
}

std::vector<instance_identity> takeover_fence::Unanswered(
    monotonic_time now) const {
  std::uint64_t newest_gain = 0;
  for (const auto& [name, gained] : own_) {
    if (ClearAt(gained) <= now) continue;
    newest_gain = std::max(newest_gain, gained.since_epoch);
  }
  std::vector<instance_identity> result;
  for (const auto& [incarnation, other] : rivals_) {
    const bool answered =
        other.released_epoch >= newest_gain && other.counts_self_since;
    if (!answered && !other.gone_at) result.push_back(other.member.identity);
  }
  return result;
}

monotonic_time takeover_fence::ClearAt(const gained_upstream& gained) const {
  if (gained.handed_over || gained.since_epoch <= kFirstEpoch) return {};
  // Processes that the roster's writer proved gone are not listed any more.
  monotonic_time clear =
      gained.learned + WithClockMargin(timing_.longest_request);
  for (const auto& [incarnation, other] : rivals_) {
    clear = std::max(clear, ClearOf(other, gained));
  }
  return clear;
}

// Each way bounds the rival's last send to the upstream; what it sent may run
// for the longest request more.
monotonic_time takeover_fence::ClearOf(const rival& other,
                                       const gained_upstream& gained) const {
  const auto run_out = WithClockMargin(timing_.longest_request);
  const auto lapse = WithClockMargin(timing_.lease + timing_.longest_request);
  monotonic_time clear =
      gained.learned + WithClockMargin(timing_.peer_horizon) + lapse;
  if (other.counts_self_since) {
    // It needs this instance's confirmation, which ended at `learned`.
    const monotonic_time last =
        std::max(gained.learned, *other.counts_self_since);
    clear = std::min(clear, last + lapse);
  }
  if (other.released_epoch >= gained.since_epoch) {
    clear = std::min(clear, other.released_at + run_out);
  }
  if (other.gone_at) clear = std::min(clear, *other.gone_at + run_out);
  return clear;
}

}  // namespace papayaglade
