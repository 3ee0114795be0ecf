#include "coordination/replica_choice.h"

#include <algorithm>
#include <array>

namespace papayaglade {

namespace {

// Lower ranks are preferred; replicas of the same rank share the load.
enum rank { kNear, kFar, kAvoided, kRankCount };

constexpr std::size_t kMaxCandidates = 16;

struct candidates {
  std::array<std::uint32_t, kMaxCandidates> upstreams{};
  std::size_t count = 0;
};

shard_reason UnusableReason(std::uint32_t upstream, std::uint64_t snapshot,
                            const query_context& context, monotonic_time now) {
  const upstream_route& route = context.routes->RouteOf(upstream);
  if (route.out) return shard_reason::kDataCentreOut;
  if (!route.known || route.steward == kNoStewardNumber) {
    return shard_reason::kNoSteward;
  }
  if (context.replicas.IsStewardDown(route.steward, now)) {
    return shard_reason::kPeerUnreachable;
  }
  if (context.snapshots.IsMissing(upstream, snapshot, now)) {
    return shard_reason::kSnapshotGone;
  }
  return shard_reason::kNone;
}

rank RankOf(std::uint32_t upstream, const query_context& context,
            monotonic_time now) {
  if (context.replicas.IsAvoided(upstream, now)) return kAvoided;
  return context.routes->RouteOf(upstream).own_data_centre ? kNear : kFar;
}

// Taking the less loaded of two random candidates keeps the load even. Always
// taking the least loaded one would send all requests to the same replica at
// once.
std::uint32_t PickLessLoaded(const candidates& group, query_context& context) {
  if (group.count == 1) return group.upstreams[0];
  const std::size_t first = context.random() % group.count;
  const std::size_t step = 1 + context.random() % (group.count - 1);
  const std::uint32_t a = group.upstreams.at(first);
  const std::uint32_t b = group.upstreams.at((first + step) % group.count);
  return context.replicas.LoadOf(b) < context.replicas.LoadOf(a) ? b : a;
}

}  // namespace

replica_pick ChooseReplica(const std::vector<std::uint32_t>& replicas,
                           const std::vector<std::uint32_t>& tried,
                           std::uint64_t snapshot, query_context& context,
                           monotonic_time now) {
  std::array<candidates, kRankCount> groups;
  replica_pick pick{std::nullopt, shard_reason::kNoSteward};
  for (const std::uint32_t upstream : replicas) {
    if (std::count(tried.begin(), tried.end(), upstream) > 0) continue;
    const shard_reason unusable =
        UnusableReason(upstream, snapshot, context, now);
    if (unusable != shard_reason::kNone) {
      pick.reason = unusable;
      continue;
    }
    candidates& group = groups.at(RankOf(upstream, context, now));
    if (group.count < kMaxCandidates) {
      group.upstreams.at(group.count++) = upstream;
    }
  }
  for (const candidates& group : groups) {
    if (group.count == 0) continue;
    return {PickLessLoaded(group, context), shard_reason::kNone};
  }
  return pick;
}

}  // namespace papayaglade
