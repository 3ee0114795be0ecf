#include "coordination/snapshot_selector.h"

#include <algorithm>

namespace papayaglade {

namespace {

constexpr double kMinServedShare = 0.99;
// An upstream that is still loading a snapshot is asked for it again after this
// delay.
constexpr std::chrono::milliseconds kMissingRecheckDelay{2000};

}  // namespace

void snapshot_selector::RecordMissing(std::uint32_t upstream,
                                      std::uint64_t missing,
                                      const std::vector<std::uint64_t>& held,
                                      monotonic_time now) {
  RecordHeld(upstream, missing);
  auto& entries = missing_[upstream];
  entries.erase(std::remove_if(entries.begin(), entries.end(),
                               [&](const missing_snapshot& each) {
                                 return each.until <= now ||
                                        std::count(held.begin(), held.end(),
                                                   each.snapshot) > 0;
                               }),
                entries.end());
  entries.push_back({missing, now + kMissingRecheckDelay});
}

void snapshot_selector::RecordHeld(std::uint32_t upstream,
                                   std::uint64_t snapshot) {
  const auto found = missing_.find(upstream);
  if (found == missing_.end()) return;
  auto& entries = found->second;
  entries.erase(std::remove_if(entries.begin(), entries.end(),
                               [snapshot](const missing_snapshot& each) {
                                 return each.snapshot == snapshot;
                               }),
                entries.end());
  if (entries.empty()) missing_.erase(found);
}

bool snapshot_selector::IsMissing(std::uint32_t upstream,
                                  std::uint64_t snapshot,
                                  monotonic_time now) const {
  if (missing_.empty()) return false;
  const auto found = missing_.find(upstream);
  if (found == missing_.end()) return false;
  return std::any_of(found->second.begin(), found->second.end(),
                     [&](const missing_snapshot& each) {
                       return each.snapshot == snapshot && now < each.until;
                     });
}

double snapshot_selector::ServedShare(const snapshot_plan& plan,
                                      monotonic_time now) const {
  if (missing_.empty() || plan.shards.empty()) return 1.0;
  std::size_t served = 0;
  for (const shard_plan& shard : plan.shards) {
    const bool any =
        std::any_of(shard.replicas.begin(), shard.replicas.end(),
                    [&](std::uint32_t replica) {
                      return !IsMissing(replica, plan.snapshot, now);
                    });
    if (any) ++served;
  }
  return static_cast<double>(served) / static_cast<double>(plan.shards.size());
}

std::shared_ptr<const snapshot_plan> snapshot_selector::Choose(
    const service_plan& service, double minimum, monotonic_time now) const {
  const double wanted = std::max(kMinServedShare, minimum);
  std::shared_ptr<const snapshot_plan> best;
  double best_share = -1;
  for (const auto& plan : service.snapshots) {
    const double share = ServedShare(*plan, now);
    if (share >= wanted) return plan;
    if (share > best_share) {
      best = plan;
      best_share = share;
    }
  }
  return best;
}

std::shared_ptr<const snapshot_plan> snapshot_selector::ChooseBetter(
    const service_plan& service, const snapshot_plan& pinned, double minimum,
    monotonic_time now) const {
  auto plan = Choose(service, minimum, now);
  if (plan == nullptr || plan->snapshot == pinned.snapshot) return nullptr;
  const bool better = ServedShare(*plan, now) > ServedShare(pinned, now);
  return better ? plan : nullptr;
}

}  // namespace papayaglade
