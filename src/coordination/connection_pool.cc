#include "coordination/connection_pool.h"

#include <algorithm>

namespace papayaglade {

namespace {

using usage = connection_pool::connection::usage;

// This many concurrent attempts fill a pool within two round trips without a
// burst of handshakes at an upstream that has just started.
constexpr int kMaxOpening = 4;

}  // namespace

connection_pool::connection_pool(int limit,
                                 const connection_pool_settings& settings,
                                 std::uint64_t seed)
    : limit_(limit), settings_(settings), random_(seed) {}

bool connection_pool::ShouldOpen(int wanted, monotonic_time now) {
  if (now < next_open_at_) return false;
  const int needed = wanted + settings_.spare_connections;
  const auto opening = std::count_if(
      connections_.begin(), connections_.end(),
      [](const connection& each) { return each.state == usage::kOpening; });
  // While an address refuses connections, one attempt at a time probes it.
  const int max_opening = backoff_.count() == 0 ? kMaxOpening : 1;
  return opening < max_opening &&
         CountOpen() < std::min(AvailableCapacity(needed, now), needed);
}

int connection_pool::AvailableCapacity(int needed, monotonic_time now) {
  const auto oldest_retired_for = [&](std::chrono::milliseconds hold) {
    return !retired_.empty() && now - retired_.front() >= hold;
  };
  while (oldest_retired_for(settings_.retired_hold))
    retired_.erase(retired_.begin());
  // Far ends usually notice a reset. After the minimum hold, work that needs a
  // connection therefore takes precedence over the retired connections.
  while (limit_ - CountRetired() < needed &&
         oldest_retired_for(settings_.min_retired_hold)) {
    retired_.erase(retired_.begin());
  }
  return limit_ - CountRetired();
}

void connection_pool::OnOpening(std::uint64_t id, monotonic_time now) {
  connections_.push_back({id, usage::kOpening, false, now, now});
}

void connection_pool::OnOpened(std::uint64_t id, monotonic_time now) {
  backoff_ = std::chrono::milliseconds(0);
  OnIdle(id, true, now);
}

void connection_pool::OnRefused(std::uint64_t id, monotonic_time now) {
  OnClosed(id);
  backoff_ = backoff_.count() == 0
                 ? settings_.initial_backoff
                 : std::min(backoff_ * 2, settings_.max_backoff);
  std::uniform_int_distribution<std::int64_t> jitter(backoff_.count() / 2,
                                                     backoff_.count());
  next_open_at_ = now + std::chrono::milliseconds(jitter(random_));
}

void connection_pool::OnClosed(std::uint64_t id) {
  const auto found =
      std::find_if(connections_.begin(), connections_.end(),
                   [id](const connection& each) { return each.id == id; });
  if (found != connections_.end()) connections_.erase(found);
}

void connection_pool::Retire(std::uint64_t id, monotonic_time now) {
  if (Find(id) == nullptr) return;
  OnClosed(id);
  retired_.push_back(now);
}

std::optional<connection_pool::connection> connection_pool::PickForWork()
    const {
  const connection* best = nullptr;
  for (const connection& each : connections_) {
    if (each.state != usage::kIdle) continue;
    const bool better =
        best == nullptr || (each.verified && !best->verified) ||
        (each.verified == best->verified && each.last_work > best->last_work);
    if (better) best = &each;
  }
  if (best == nullptr) return std::nullopt;
  return *best;
}

std::optional<connection_pool::connection> connection_pool::PickForCheck()
    const {
  const connection* oldest = nullptr;
  for (const connection& each : connections_) {
    if (each.state != usage::kIdle) continue;
    const bool older =
        oldest == nullptr || each.last_reply < oldest->last_reply;
    if (older) oldest = &each;
  }
  if (oldest == nullptr) return std::nullopt;
  return *oldest;
}

void connection_pool::OnBusy(std::uint64_t id) {
  connection* found = FindMutable(id);
  if (found != nullptr) found->state = usage::kBusy;
}

void connection_pool::OnIdle(std::uint64_t id, bool work, monotonic_time now) {
  connection* found = FindMutable(id);
  if (found == nullptr) return;
  found->state = usage::kIdle;
  found->last_reply = now;
  if (work) found->last_work = now;
}

void connection_pool::Verify(std::uint64_t id) {
  connection* found = FindMutable(id);
  if (found != nullptr) found->verified = true;
}

void connection_pool::UnverifyAllExcept(std::uint64_t id) {
  for (connection& each : connections_) each.verified = each.id == id;
}

std::optional<std::uint64_t> connection_pool::FindSurplus(
    int wanted, monotonic_time now) const {
  if (CountOpen() <= wanted + settings_.spare_connections) return std::nullopt;
  for (const connection& each : connections_) {
    const bool idle = each.state == usage::kIdle;
    if (idle && now - each.last_work >= settings_.idle_timeout) return each.id;
  }
  return std::nullopt;
}

const connection_pool::connection* connection_pool::Find(
    std::uint64_t id) const {
  for (const connection& each : connections_) {
    if (each.id == id) return &each;
  }
  return nullptr;
}

int connection_pool::CountIdle() const {
  return static_cast<int>(std::count_if(
      connections_.begin(), connections_.end(),
      [](const connection& each) { return each.state == usage::kIdle; }));
}

connection_pool::connection* connection_pool::FindMutable(std::uint64_t id) {
  for (connection& each : connections_) {
    if (each.id == id) return &each;
  }
  return nullptr;
}

}  // namespace papayaglade
