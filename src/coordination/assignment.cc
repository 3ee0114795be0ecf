#include "coordination/assignment.h"

#include <algorithm>
#include <cstddef>
#include <map>
#include <unordered_map>

namespace papayaglade {

namespace {

// A service is distributed over at least this many stewards, so that most of a
// small service stays available when one of them fails.
constexpr std::size_t kMinStewardsPerService = 4;

constexpr std::uint64_t kFnvOffset = 14695981039346656037ULL;
constexpr std::uint64_t kFnvPrime = 1099511628211ULL;
constexpr std::uint64_t kMixFactor = 0xff51afd7ed558ccdULL;
constexpr unsigned kMixShift = 33;

// All builds must compute the same hash, which std::hash does not guarantee.
std::uint64_t Hash(const std::string& text, std::uint64_t seed) {
  std::uint64_t hash = seed;
  for (const char each : text) {
    hash = (hash ^ static_cast<unsigned char>(each)) * kFnvPrime;
  }
  hash = (hash ^ (hash >> kMixShift)) * kMixFactor;
  return hash ^ (hash >> kMixShift);
}

std::uint64_t Hash(const std::string& text) { return Hash(text, kFnvOffset); }

class assigner {
 public:
  assigner(const std::vector<assignable_upstream>& upstreams,
           const std::vector<std::string>& members)
      : members_(members), load_(members.size(), 0) {
    std::sort(members_.begin(), members_.end());
    for (std::size_t i = 0; i < members_.size(); ++i) index_[members_[i]] = i;
    floor_ = upstreams.size() / members_.size();
    cap_ = floor_ + (upstreams.size() % members_.size() == 0 ? 0 : 1);
    for (const assignable_upstream& each : upstreams) {
      ++size_of_service_[each.service];
    }
    for (const assignable_upstream& each : upstreams) {
      entries_[each.name].key = AffinityKey(each);
    }
  }

  void KeepPrevious(const std::vector<steward_assignment>& previous) {
    for (const steward_assignment& each : previous) {
      const auto entry = entries_.find(each.upstream);
      const auto member = index_.find(each.steward);
      if (entry == entries_.end() || member == index_.end()) continue;
      Place(entry->second, member->second);
      entry->second.since_epoch = each.since_epoch;
      entry->second.previous_member = member->second;
    }
    ReleaseOverCap();
  }

  void AssignRemaining() {
    for (auto& [name, entry] : entries_) {
      if (entry.member == kUnassigned)
        Place(entry, BestMemberBelow(entry, cap_));
    }
    RaiseToFloor();
  }

  std::vector<steward_assignment> Result(std::uint64_t epoch) const {
    std::vector<steward_assignment> result;
    result.reserve(entries_.size());
    for (const auto& [name, entry] : entries_) {
      const bool kept = entry.member == entry.previous_member;
      result.push_back(
          {name, members_[entry.member], kept ? entry.since_epoch : epoch});
    }
    return result;
  }

 private:
  static constexpr std::size_t kUnassigned = SIZE_MAX;

  struct entry {
    std::uint64_t key = 0;
    std::size_t member = kUnassigned;
    std::size_t previous_member = kUnassigned;
    std::uint64_t since_epoch = 0;
  };

  // Upstreams with equal keys prefer the same members in the same order, which
  // keeps a large service on few stewards.
  std::uint64_t AffinityKey(const assignable_upstream& upstream) const {
    const std::uint64_t own = Hash(upstream.name);
    const std::size_t size = size_of_service_.at(upstream.service);
    if (size <= kMinStewardsPerService || cap_ == 0) return own;
    const std::size_t groups =
        std::max(kMinStewardsPerService, (size + cap_ - 1) / cap_);
    return Hash(std::to_string(own % groups), Hash(upstream.service));
  }

  std::uint64_t Score(const entry& upstream, std::size_t member) const {
    return Hash(members_[member], upstream.key);
  }

  void Place(entry& upstream, std::size_t member) {
    upstream.member = member;
    ++load_[member];
  }

  void Move(entry& upstream, std::size_t member) {
    --load_[upstream.member];
    Place(upstream, member);
  }

  std::size_t BestMemberBelow(const entry& upstream, std::size_t bound) const {
    std::size_t best = kUnassigned;
    std::uint64_t best_score = 0;
    for (std::size_t i = 0; i < members_.size(); ++i) {
      if (load_[i] >= bound) continue;
      const std::uint64_t score = Score(upstream, i);
      if (best != kUnassigned && score <= best_score) continue;
      best = i;
      best_score = score;
    }
    return best;
  }

  // Releases upstreams above the cap. As RaiseToFloor then fills every member
  // to the floor, only as many members hold the cap as in an even distribution.
  void ReleaseOverCap() {
    for (auto& [name, entry] : entries_) {
      if (entry.member == kUnassigned || load_[entry.member] <= cap_) continue;
      --load_[entry.member];
      entry.member = kUnassigned;
    }
  }

  // Moves upstreams from members above the floor to members below it, such as a
  // member that has just joined.
  void RaiseToFloor() {
    for (std::size_t i = 0; i < members_.size(); ++i) {
      while (load_[i] < floor_) Move(*BestEntryAboveFloor(i), i);
    }
  }

  entry* BestEntryAboveFloor(std::size_t taker) {
    entry* best = nullptr;
    std::uint64_t best_score = 0;
    for (auto& [name, entry] : entries_) {
      if (load_[entry.member] <= floor_) continue;
      const std::uint64_t score = Score(entry, taker);
      if (best != nullptr && score <= best_score) continue;
      best = &entry;
      best_score = score;
    }
    return best;
  }

  std::vector<std::string> members_;
  std::vector<std::size_t> load_;
  std::unordered_map<std::string, std::size_t> index_;
  std::unordered_map<std::string, std::size_t> size_of_service_;
  // The list is sorted, so that all instances compute the same result.
  std::map<std::string, entry> entries_;
  std::size_t floor_ = 0;
  std::size_t cap_ = 0;
};

}  // namespace

std::vector<steward_assignment> AssignStewards(
    const std::vector<assignable_upstream>& upstreams,
    const std::vector<std::string>& members,
    const std::vector<steward_assignment>& previous, std::uint64_t epoch) {
  if (members.empty()) return {};
  assigner assignment(upstreams, members);
  assignment.KeepPrevious(previous);
  assignment.AssignRemaining();
  return assignment.Result(epoch);
}

}  // namespace papayaglade
