#include "coordination/takeover_fence.h"

#include <algorithm>
#include <utility>

namespace papayaglade {

namespace {

// No instance can have been steward before the first roster.
constexpr std::uint64_t kFirstEpoch = 1;

bool IsListed(const roster& value, const instance_identity& identity) {
  const auto matches = [&identity](const roster_member& each) {
    return each.identity == identity;
  };
  return std::any_of(value.members.begin(), value.members.end(), matches) ||
         std::any_of(value.retired.begin(), value.retired.end(), matches);
}

}  // namespace

void takeover_fence::ApplyRoster(const roster& newest, monotonic_time now) {
  UpdateRivals(newest, now);
  UpdateOwnUpstreams(newest, now);
}

void takeover_fence::UpdateRivals(const roster& newest, monotonic_time now) {
  std::uint64_t joined = 0;
  std::map<std::uint64_t, rival> rivals;
  const auto add_rival = [&](const roster_member& each, bool retired) {
    if (each.identity == self_) return;
    rival& added = rivals[each.identity.incarnation];
    const auto previous = rivals_.find(each.identity.incarnation);
    if (previous != rivals_.end()) added = previous->second;
    // A rival that is listed again had only been removed because its retirement
    // expired, so it has not been proven to have terminated.
    if (std::exchange(added.unlisted, false)) added.terminated_at.reset();
    added.member = each;
    added.retired = retired;
  };
  for (const roster_member& each : newest.retired) add_rival(each, true);
  for (const roster_member& each : newest.members) {
    if (each.identity == self_) joined = each.joined_epoch;
    add_rival(each, false);
  }
  // A process that the roster no longer lists has been proven to have
  // terminated, but the requests that it sent may still run.
  const auto request_bound = WithClockMargin(timing_.max_request_time);
  for (const auto& [incarnation, previous] : rivals_) {
    if (previous.terminated_at &&
        *previous.terminated_at + request_bound <= now)
      continue;
    rival& ended = rivals.emplace(incarnation, previous).first->second;
    if (IsListed(newest, ended.member.identity)) continue;
    ended.retired = true;
    ended.unlisted = true;
    ended.terminated_at = ended.terminated_at.value_or(now);
  }
  rivals_ = std::move(rivals);
  if (joined == joined_epoch_) return;
  joined_epoch_ = joined;
  // While this instance was not a member, rivals may have stopped requiring its
  // confirmation.
  for (auto& [incarnation, each] : rivals_) each.requires_self_since.reset();
}

void takeover_fence::UpdateOwnUpstreams(const roster& newest,
                                        monotonic_time now) {
  std::map<std::string, gained_upstream> own_upstreams;
  if (joined_epoch_ != 0) {
    for (const steward_assignment& each : newest.assignments) {
      if (each.steward != self_.name) continue;
      const auto previous = own_upstreams_.find(each.upstream);
      const bool same = previous != own_upstreams_.end() &&
                        previous->second.since_epoch == each.since_epoch;
      own_upstreams[each.upstream] =
          same ? previous->second
               : gained_upstream{each.since_epoch, now, false};
    }
  }
  own_upstreams_ = std::move(own_upstreams);
}

void takeover_fence::MarkTerminated(const instance_identity& process,
                                    monotonic_time now) {
  const auto found = rivals_.find(process.incarnation);
  if (found == rivals_.end() || found->second.terminated_at) return;
  found->second.terminated_at = now;
}

void takeover_fence::OnAnswer(const instance_identity& rival,
                              std::uint64_t epoch, std::uint64_t released_epoch,
                              monotonic_time now) {
  const auto found = rivals_.find(rival.incarnation);
  if (found == rivals_.end()) return;
  const bool requires_self = joined_epoch_ != 0 && epoch >= joined_epoch_;
  if (requires_self && !found->second.requires_self_since) {
    found->second.requires_self_since = now;
  }
  if (released_epoch <= found->second.released_epoch) return;
  found->second.released_epoch = released_epoch;
  found->second.released_at = now;
}

bool takeover_fence::OnHandover(const std::string& upstream,
                                std::uint64_t epoch) {
  const auto found = own_upstreams_.find(upstream);
  if (found == own_upstreams_.end() || epoch < found->second.since_epoch)
    return false;
  if (found->second.handed_over) return false;
  found->second.handed_over = true;
  return true;
}

std::optional<monotonic_time> takeover_fence::FencedUntil(
    const std::string& upstream) const {
  const auto found = own_upstreams_.find(upstream);
  if (found == own_upstreams_.end()) return std::nullopt;
  return FencedUntil(found->second);
}

// A terminated process stays required until the requests that it left running
// at an upstream have ended.
std::vector<instance_identity> takeover_fence::Confirmers(
    monotonic_time now) const {
  std::vector<instance_identity> result;
  const auto request_bound = WithClockMargin(timing_.max_request_time);
  for (const auto& [incarnation, other] : rivals_) {
    const bool ended =
        other.terminated_at && *other.terminated_at + request_bound < now;
    if (!other.retired && !ended) result.push_back(other.member.identity);
  }
  return result;
}

std::vector<instance_identity> takeover_fence::RivalsToAsk(
    monotonic_time now) const {
  std::uint64_t newest_since_epoch = 0;
  for (const auto& [name, gained] : own_upstreams_) {
    if (FencedUntil(gained) <= now) continue;
    newest_since_epoch = std::max(newest_since_epoch, gained.since_epoch);
  }
  std::vector<instance_identity> result;
  for (const auto& [incarnation, other] : rivals_) {
    const bool answered =
        other.released_epoch >= newest_since_epoch && other.requires_self_since;
    if (!answered && !other.terminated_at)
      result.push_back(other.member.identity);
  }
  return result;
}

monotonic_time takeover_fence::FencedUntil(
    const gained_upstream& gained) const {
  if (gained.handed_over || gained.since_epoch <= kFirstEpoch) return {};
  // Processes that the writer of the roster proved to have terminated are no
  // longer listed, but their requests may still run.
  monotonic_time until =
      gained.learned_at + WithClockMargin(timing_.max_request_time);
  for (const auto& [incarnation, other] : rivals_) {
    until = std::max(until, RivalActiveUntil(other, gained));
  }
  return until;
}

// Each rule bounds the time of the rival's last send to the upstream. A request
// may run for max_request_time after that.
monotonic_time takeover_fence::RivalActiveUntil(
    const rival& other, const gained_upstream& gained) const {
  const auto request_bound = WithClockMargin(timing_.max_request_time);
  const auto lease_and_request_bound =
      WithClockMargin(timing_.lease + timing_.max_request_time);
  monotonic_time until = gained.learned_at +
                         WithClockMargin(timing_.max_peer_proof_time) +
                         lease_and_request_bound;
  if (other.requires_self_since) {
    // The rival needs the confirmation of this instance, which gave none after
    // `learned_at`.
    const monotonic_time last =
        std::max(gained.learned_at, *other.requires_self_since);
    until = std::min(until, last + lease_and_request_bound);
  }
  if (other.released_epoch >= gained.since_epoch) {
    until = std::min(until, other.released_at + request_bound);
  }
  if (other.terminated_at)
    until = std::min(until, *other.terminated_at + request_bound);
  return until;
}

}  // namespace papayaglade
