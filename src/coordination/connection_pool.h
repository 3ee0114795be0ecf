#ifndef PAPAYAGLADE_COORDINATION_CONNECTION_POOL_H_
#define PAPAYAGLADE_COORDINATION_CONNECTION_POOL_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <random>
#include <vector>

#include "state/time.h"

namespace papayaglade {

/// Limits and times of a connection pool.
struct connection_pool_settings {
  int spare_connections = 1;  ///< Connections beyond the wanted number.
  /// Time for which a retired connection counts against the limit, because
  /// the far end may still hold it.
  std::chrono::milliseconds retired_hold{30000};
  /// Time after which a retired connection no longer counts if work needs a
  /// connection.
  std::chrono::milliseconds min_retired_hold{5000};
  /// Idle time after which a surplus connection is closed.
  std::chrono::milliseconds idle_timeout{30000};
  /// Delay after the first refusal.
  std::chrono::milliseconds initial_backoff{50};
  std::chrono::milliseconds max_backoff{2000};
};

/// The connections to one upstream, at most as many as its limit.
class connection_pool {
 public:
  struct connection {
    enum class usage { kOpening, kIdle, kBusy };
    std::uint64_t id = 0;
    usage state = usage::kOpening;
    bool verified = false;     ///< The known incarnation answered on it.
    monotonic_time last_work;  ///< Time of opening if none was sent.
    /// Time of the last reply to work or to a check.
    monotonic_time last_reply;
  };

  connection_pool(int limit, const connection_pool_settings& settings,
                  std::uint64_t seed);

  /// Returns whether one more connection should be opened so that `wanted`
  /// connections can be in use.
  bool ShouldOpen(int wanted, monotonic_time now);
  void OnOpening(std::uint64_t id, monotonic_time now);
  void OnOpened(std::uint64_t id, monotonic_time now);
  void OnRefused(std::uint64_t id, monotonic_time now);
  /// Removes a connection that either end closed normally, so that the far end
  /// does not hold it any more.
  void OnClosed(std::uint64_t id);
  /// Removes a connection that was closed here while the far end may still hold
  /// it.
  void Retire(std::uint64_t id, monotonic_time now);

  /// Returns an idle connection for work: the most recently used one,
  /// preferring verified connections.
  std::optional<connection> PickForWork() const;
  /// Returns the idle connection whose last reply is the oldest, for a check: a
  /// health or cancel exchange.
  std::optional<connection> PickForCheck() const;
  void OnBusy(std::uint64_t id);
  /// Records that an exchange has its reply. `work` is false for a check.
  void OnIdle(std::uint64_t id, bool work, monotonic_time now);
  void Verify(std::uint64_t id);
  void UnverifyAllExcept(std::uint64_t id);

  /// Returns an idle connection beyond `wanted` that has not carried work for
  /// the idle timeout, or nullopt.
  std::optional<std::uint64_t> FindSurplus(int wanted,
                                           monotonic_time now) const;

  const connection* Find(std::uint64_t id) const;
  const std::vector<connection>& Connections() const { return connections_; }
  int CountOpen() const { return static_cast<int>(connections_.size()); }
  int CountIdle() const;
  int CountRetired() const { return static_cast<int>(retired_.size()); }
  void SetLimit(int limit) { limit_ = limit; }

 private:
  int AvailableCapacity(int needed, monotonic_time now);
  connection* FindMutable(std::uint64_t id);

  int limit_;
  connection_pool_settings settings_;
  std::mt19937_64 random_;
  // The list is short, so it is searched linearly.
  std::vector<connection> connections_;
  // Holds the times of retirement, oldest first.
  std::vector<monotonic_time> retired_;
  std::chrono::milliseconds backoff_{0};
  monotonic_time next_open_at_{};
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_COORDINATION_CONNECTION_POOL_H_
