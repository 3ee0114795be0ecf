#include "coordination/source_choice.h"

#include <algorithm>
#include <utility>

#include "coordination/rendezvous.h"

namespace papayaglade {

namespace {

using std::chrono::milliseconds;

// One may fail without any news being late.
constexpr std::size_t kSources = 2;
constexpr std::size_t kMostLinks = 4;
// Three reports that did not come.
constexpr milliseconds kSilence{1300};
constexpr milliseconds kDialTimeout{1000};
constexpr milliseconds kRetryFailed{5000};
constexpr milliseconds kRetryFollowing{2000};
constexpr milliseconds kRetryLost{20000};
constexpr milliseconds kRotation{1000};
// With one source left, another may be found by then.
constexpr milliseconds kWithOneSource{2000};
constexpr milliseconds kBeforeFollowing{2000};
// A store that lost some calls is not asked after elsewhere.
constexpr milliseconds kStoreLostFor{300};
// By then all instances that start for the first time have entered themselves.
constexpr milliseconds kFirstLook{350};
constexpr milliseconds kLongestStart{800};
constexpr char kRankKey[] = "watch";

// The larger instances bear the followers more easily.
bool RanksBefore(const fleet_member& a, const fleet_member& b) {
  if (a.cores != b.cores) return a.cores > b.cores;
  const std::uint64_t weight_a = RendezvousWeight(kRankKey, a.name);
  const std::uint64_t weight_b = RendezvousWeight(kRankKey, b.name);
  if (weight_a != weight_b) return weight_a > weight_b;
  return a.name < b.name;
}

}  // namespace

source_choice::source_choice(fleet_member self, bool sharing)
    : self_(std::move(self)), sharing_(sharing) {}

void source_choice::Start(monotonic_time now) {
  starting_ = sharing_;
  watches_ = !sharing_;
  started_ = now;
}

void source_choice::SetSeeds(const std::vector<fleet_member>& seeds) {
  if (!listed_) SetCandidates(seeds);
}

void source_choice::SetMembers(const std::vector<fleet_member>& members) {
  const bool listed_self = std::any_of(
      members.begin(), members.end(),
      [&](const fleet_member& each) { return each.name == self_.name; });
  if (!listed_) restarted_ = listed_self;
  listed_ = true;
  SetCandidates(members);
}

void source_choice::SetCandidates(const std::vector<fleet_member>& members) {
  std::vector<candidate> known = std::exchange(candidates_, {});
  for (const fleet_member& each : members) {
    if (each.name == self_.name || each.control.port == 0) continue;
    const auto found = std::find_if(
        known.begin(), known.end(),
        [&](const candidate& old) { return old.member.name == each.name; });
    candidate added = found == known.end() ? candidate() : *found;
    if (added.member.control != each.control) added.retry_at = {};
    added.member = each;
    added.before =
        each.data_centre == self_.data_centre && RanksBefore(each, self_);
    candidates_.push_back(std::move(added));
  }
  for (const candidate& each : known) {
    const bool listed = std::any_of(
        candidates_.begin(), candidates_.end(), [&](const candidate& kept) {
          return kept.member.name == each.member.name;
        });
    if (!listed && each.link != link_state::kNone) {
      gone_.push_back(each.member.name);
    }
  }
  std::sort(candidates_.begin(), candidates_.end(),
            [&](const candidate& a, const candidate& b) {
              const bool near_a = a.member.data_centre == self_.data_centre;
              const bool near_b = b.member.data_centre == self_.data_centre;
              if (near_a != near_b) return near_a;
              return RanksBefore(a.member, b.member);
            });
}

void source_choice::SetStoreAnswers(bool answers, monotonic_time now) {
  if (store_answers_ && !answers) lost_at_ = now;
  store_answers_ = answers;
}

void source_choice::OnReport(const std::string& source, source_state state,
                             monotonic_time now) {
  candidate* known = Find(source);
  if (known == nullptr || known->link == link_state::kNone) return;
  known->link = link_state::kLinked;
  known->state = state;
  known->heard = now;
}

void source_choice::OnClosed(const std::string& source, monotonic_time now) {
  candidate* known = Find(source);
  if (known == nullptr || known->link == link_state::kNone) return;
  known->link = link_state::kNone;
  known->retry_at = now + kRetryFailed;
}

source_choice::step source_choice::Next(monotonic_time now) {
  step result;
  result.close = std::exchange(gone_, {});
  CloseUseless(now, result);
  Rotate(now, result);
  const bool lost = !store_answers_ && now - lost_at_ >= kStoreLostFor;
  const bool searching = lost || (starting_ && listed_);
  std::size_t links = Links();
  auto useful = static_cast<std::size_t>(std::count_if(
      candidates_.begin(), candidates_.end(), [&](const candidate& each) {
        return each.link == link_state::kDialled || IsGood(each, now);
      }));
  for (candidate& each : candidates_) {
    if (useful >= kSources || links >= kMostLinks) break;
    const bool wanted = searching || (sharing_ && each.before);
    const bool idle = each.link == link_state::kNone && now >= each.retry_at;
    if (!wanted || !idle) continue;
    each.link = link_state::kDialled;
    each.heard = now;
    result.dial.push_back(each.member);
    ++useful;
    ++links;
  }
  return result;
}

// Links that tell nothing new; and sources beyond those that are needed, the
// last ones first.
void source_choice::CloseUseless(monotonic_time now, step& result) {
  std::size_t good = 0;
  for (candidate& each : candidates_) {
    if (each.link == link_state::kNone) continue;
    const bool dialled = each.link == link_state::kDialled;
    if (now - each.heard > (dialled ? kDialTimeout : kSilence)) {
      Leave(each, kRetryFailed, now, result);
    } else if (!dialled && !starting_ &&
               each.state == source_state::kFollowing) {
      Leave(each, kRetryFollowing, now, result);
    } else if (good >= kSources || !IsWanted(each)) {
      Leave(each, milliseconds(0), now, result);
    } else if (IsGood(each, now)) {
      ++good;
    }
  }
}

void source_choice::Rotate(monotonic_time now, step& result) {
  if (store_answers_ || Links() < kMostLinks) return;
  if (now - rotated_at_ < kRotation) return;
  const auto last = std::find_if(candidates_.rbegin(), candidates_.rend(),
                                 [](const candidate& each) {
                                   return each.link == link_state::kLinked &&
                                          each.state == source_state::kLost;
                                 });
  if (last == candidates_.rend()) return;
  rotated_at_ = now;
  Leave(*last, kRetryLost, now, result);
}

std::size_t source_choice::Links() const {
  return static_cast<std::size_t>(std::count_if(
      candidates_.begin(), candidates_.end(),
      [](const candidate& each) { return each.link != link_state::kNone; }));
}

bool source_choice::IsWanted(const candidate& each) const {
  return !store_answers_ || starting_ || (sharing_ && each.before);
}

bool source_choice::EndsStart(monotonic_time now) const {
  const auto passed = now - started_;
  if (passed >= kLongestStart || Reliable(now) > 0) return true;
  if (!listed_ || (!restarted_ && passed < kFirstLook)) return false;
  const auto before =
      std::count_if(candidates_.begin(), candidates_.end(),
                    [](const candidate& each) { return each.before; });
  return static_cast<std::size_t>(before) < kSources;
}

void source_choice::Leave(candidate& each, milliseconds retry,
                          monotonic_time now, step& result) {
  each.link = link_state::kNone;
  each.retry_at = now + retry;
  result.close.push_back(each.member.name);
}

bool source_choice::WatchesStore(monotonic_time now) {
  if (starting_ && !EndsStart(now)) return false;
  starting_ = false;
  const std::size_t reliable = Reliable(now);
  const bool wanted = !sharing_ || reliable < kSources;
  if (wanted == watches_) {
    changing_since_.reset();
    return watches_;
  }
  if (!changing_since_.has_value()) changing_since_ = now;
  milliseconds wait = kBeforeFollowing;
  if (wanted) wait = reliable == 0 ? milliseconds(0) : kWithOneSource;
  if (now - *changing_since_ >= wait) {
    watches_ = wanted;
    changing_since_.reset();
  }
  return watches_;
}

std::size_t source_choice::Watching(monotonic_time now) const {
  return static_cast<std::size_t>(
      std::count_if(candidates_.begin(), candidates_.end(),
                    [&](const candidate& each) { return IsGood(each, now); }));
}

std::size_t source_choice::Reliable(monotonic_time now) const {
  return static_cast<std::size_t>(std::count_if(
      candidates_.begin(), candidates_.end(),
      [&](const candidate& each) { return each.before && IsGood(each, now); }));
}

bool source_choice::IsGood(const candidate& each, monotonic_time now) {
  return each.link == link_state::kLinked &&
         each.state == source_state::kWatching && now - each.heard <= kSilence;
}

source_choice::candidate* source_choice::Find(const std::string& name) {
  const auto found = std::find_if(
      candidates_.begin(), candidates_.end(),
      [&](const candidate& each) { return each.member.name == name; });
  return found == candidates_.end() ? nullptr : &*found;
}

}  // namespace papayaglade
