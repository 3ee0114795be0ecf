#include "coordination/source_selector.h"

#include <algorithm>
#include <utility>

#include "coordination/rendezvous.h"

namespace papayaglade {

namespace {

using std::chrono::milliseconds;

// With two sources, the failure of one delays no change.
constexpr std::size_t kWantedSources = 2;
constexpr std::size_t kMaxLinks = 4;
// Covers three missed reports.
constexpr milliseconds kReportTimeout{1300};
constexpr milliseconds kDialTimeout{1000};
constexpr milliseconds kFailureRetryDelay{5000};
constexpr milliseconds kFollowerRetryDelay{2000};
constexpr milliseconds kStoreLossRetryDelay{20000};
constexpr milliseconds kRotationInterval{1000};
// With one source left, a second one may be found within this time.
constexpr milliseconds kOneSourceWatchDelay{2000};
constexpr milliseconds kStopWatchingDelay{2000};
// An outage of the store this short, such as a few lost calls, starts no search
// for other sources.
constexpr milliseconds kStoreLossDelay{300};
// All instances that start for the first time together have registered by then.
constexpr milliseconds kRegistrationWindow{350};
constexpr milliseconds kMaxStartupTime{800};
constexpr char kRankKey[] = "watch";

// Larger instances rank first, because followers cost them the smaller share of
// their capacity.
bool RanksBefore(const fleet_member& a, const fleet_member& b) {
  if (a.cores != b.cores) return a.cores > b.cores;
  const std::uint64_t weight_a = RendezvousWeight(kRankKey, a.name);
  const std::uint64_t weight_b = RendezvousWeight(kRankKey, b.name);
  if (weight_a != weight_b) return weight_a > weight_b;
  return a.name < b.name;
}

}  // namespace

source_selector::source_selector(fleet_member self, bool may_follow)
    : self_(std::move(self)), may_follow_(may_follow) {}

void source_selector::Start(monotonic_time now) {
  is_starting_ = may_follow_;
  watches_store_ = !may_follow_;
  started_at_ = now;
}

void source_selector::SetSeeds(const std::vector<fleet_member>& seeds) {
  if (!has_member_list_) SetCandidates(seeds);
}

void source_selector::SetMembers(const std::vector<fleet_member>& members) {
  const bool listed_self = std::any_of(
      members.begin(), members.end(),
      [&](const fleet_member& each) { return each.name == self_.name; });
  if (!has_member_list_) restarted_ = listed_self;
  has_member_list_ = true;
  SetCandidates(members);
}

void source_selector::SetCandidates(const std::vector<fleet_member>& members) {
  std::vector<candidate> known = std::exchange(candidates_, {});
  for (const fleet_member& each : members) {
    if (each.name == self_.name || each.control.port == 0) continue;
    const auto found = std::find_if(
        known.begin(), known.end(),
        [&](const candidate& old) { return old.member.name == each.name; });
    candidate added = found == known.end() ? candidate() : *found;
    if (added.member.control != each.control) added.retry_at = {};
    added.member = each;
    added.ranks_before_self =
        each.data_centre == self_.data_centre && RanksBefore(each, self_);
    candidates_.push_back(std::move(added));
  }
  for (const candidate& each : known) {
    const bool listed = std::any_of(
        candidates_.begin(), candidates_.end(), [&](const candidate& kept) {
          return kept.member.name == each.member.name;
        });
    if (!listed && each.link != link_state::kNone) {
      unlisted_sources_.push_back(each.member.name);
    }
  }
  std::sort(candidates_.begin(), candidates_.end(),
            [&](const candidate& a, const candidate& b) {
              const bool is_local_a = a.member.data_centre == self_.data_centre;
              const bool is_local_b = b.member.data_centre == self_.data_centre;
              if (is_local_a != is_local_b) return is_local_a;
              return RanksBefore(a.member, b.member);
            });
}

void source_selector::SetStoreReachable(bool reachable, monotonic_time now) {
  if (store_reachable_ && !reachable) store_lost_at_ = now;
  store_reachable_ = reachable;
}

void source_selector::OnReport(const std::string& source, source_state state,
                               monotonic_time now) {
  candidate* known = FindCandidate(source);
  if (known == nullptr || known->link == link_state::kNone) return;
  known->link = link_state::kLinked;
  known->state = state;
  known->last_heard_at = now;
}

void source_selector::OnClosed(const std::string& source, monotonic_time now) {
  candidate* known = FindCandidate(source);
  if (known == nullptr || known->link == link_state::kNone) return;
  known->link = link_state::kNone;
  known->retry_at = now + kFailureRetryDelay;
}

source_selector::link_changes source_selector::UpdateLinks(monotonic_time now) {
  link_changes result;
  result.close = std::exchange(unlisted_sources_, {});
  CloseUnneededLinks(now, result);
  RotateLinks(now, result);
  const bool lost =
      !store_reachable_ && now - store_lost_at_ >= kStoreLossDelay;
  const bool searching = lost || (is_starting_ && has_member_list_);
  std::size_t links = LinkCount();
  auto useful_links = static_cast<std::size_t>(std::count_if(
      candidates_.begin(), candidates_.end(), [&](const candidate& each) {
        return each.link == link_state::kDialled || IsLiveWatcher(each, now);
      }));
  for (candidate& each : candidates_) {
    if (useful_links >= kWantedSources || links >= kMaxLinks) break;
    const bool wanted = searching || (may_follow_ && each.ranks_before_self);
    const bool idle = each.link == link_state::kNone && now >= each.retry_at;
    if (!wanted || !idle) continue;
    each.link = link_state::kDialled;
    each.last_heard_at = now;
    result.dial.push_back(each.member);
    ++useful_links;
    ++links;
  }
  return result;
}

// Closes links that are silent, links to followers, and the links to surplus
// sources, the least preferred first.
void source_selector::CloseUnneededLinks(monotonic_time now,
                                         link_changes& result) {
  std::size_t live_watchers = 0;
  for (candidate& each : candidates_) {
    if (each.link == link_state::kNone) continue;
    const bool dialled = each.link == link_state::kDialled;
    if (now - each.last_heard_at > (dialled ? kDialTimeout : kReportTimeout)) {
      CloseLink(each, kFailureRetryDelay, now, result);
    } else if (!dialled && !is_starting_ &&
               each.state == source_state::kFollowing) {
      CloseLink(each, kFollowerRetryDelay, now, result);
    } else if (live_watchers >= kWantedSources || !IsWanted(each)) {
      CloseLink(each, milliseconds(0), now, result);
    } else if (IsLiveWatcher(each, now)) {
      ++live_watchers;
    }
  }
}

void source_selector::RotateLinks(monotonic_time now, link_changes& result) {
  if (store_reachable_ || LinkCount() < kMaxLinks) return;
  if (now - last_rotation_at_ < kRotationInterval) return;
  const auto last = std::find_if(candidates_.rbegin(), candidates_.rend(),
                                 [](const candidate& each) {
                                   return each.link == link_state::kLinked &&
                                          each.state == source_state::kLost;
                                 });
  if (last == candidates_.rend()) return;
  last_rotation_at_ = now;
  CloseLink(*last, kStoreLossRetryDelay, now, result);
}

std::size_t source_selector::LinkCount() const {
  return static_cast<std::size_t>(std::count_if(
      candidates_.begin(), candidates_.end(),
      [](const candidate& each) { return each.link != link_state::kNone; }));
}

bool source_selector::IsWanted(const candidate& each) const {
  return !store_reachable_ || is_starting_ ||
         (may_follow_ && each.ranks_before_self);
}

bool source_selector::IsStartupOver(monotonic_time now) const {
  const auto elapsed = now - started_at_;
  if (elapsed >= kMaxStartupTime || ReliableSourceCount(now) > 0) return true;
  if (!has_member_list_ || (!restarted_ && elapsed < kRegistrationWindow))
    return false;
  const auto higher_ranked = std::count_if(
      candidates_.begin(), candidates_.end(),
      [](const candidate& each) { return each.ranks_before_self; });
  return static_cast<std::size_t>(higher_ranked) < kWantedSources;
}

void source_selector::CloseLink(candidate& each, milliseconds retry_delay,
                                monotonic_time now, link_changes& result) {
  each.link = link_state::kNone;
  each.retry_at = now + retry_delay;
  result.close.push_back(each.member.name);
}

bool source_selector::ShouldWatchStore(monotonic_time now) {
  if (is_starting_ && !IsStartupOver(now)) return false;
  is_starting_ = false;
  const std::size_t reliable = ReliableSourceCount(now);
  const bool wanted = !may_follow_ || reliable < kWantedSources;
  if (wanted == watches_store_) {
    change_pending_since_.reset();
    return watches_store_;
  }
  if (!change_pending_since_.has_value()) change_pending_since_ = now;
  milliseconds wait = kStopWatchingDelay;
  if (wanted) wait = reliable == 0 ? milliseconds(0) : kOneSourceWatchDelay;
  if (now - *change_pending_since_ >= wait) {
    watches_store_ = wanted;
    change_pending_since_.reset();
  }
  return watches_store_;
}

std::size_t source_selector::WatchingSourceCount(monotonic_time now) const {
  return static_cast<std::size_t>(std::count_if(
      candidates_.begin(), candidates_.end(),
      [&](const candidate& each) { return IsLiveWatcher(each, now); }));
}

std::size_t source_selector::ReliableSourceCount(monotonic_time now) const {
  return static_cast<std::size_t>(std::count_if(
      candidates_.begin(), candidates_.end(), [&](const candidate& each) {
        return each.ranks_before_self && IsLiveWatcher(each, now);
      }));
}

bool source_selector::IsLiveWatcher(const candidate& each, monotonic_time now) {
  return each.link == link_state::kLinked &&
         each.state == source_state::kWatching &&
         now - each.last_heard_at <= kReportTimeout;
}

source_selector::candidate* source_selector::FindCandidate(
    const std::string& name) {
  const auto found = std::find_if(
      candidates_.begin(), candidates_.end(),
      [&](const candidate& each) { return each.member.name == name; });
  return found == candidates_.end() ? nullptr : &*found;
}

}  // namespace papayaglade
