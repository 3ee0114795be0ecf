#ifndef PAPAYAGLADE_COORDINATION_CONNECTION_POOL_H_
#define PAPAYAGLADE_COORDINATION_CONNECTION_POOL_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <random>
#include <vector>

#include "state/time.h"

namespace papayaglade {

/// Times that a pool's decisions are built from.
struct connection_pool_settings {
  int spare_connections = 1;  ///< Idle connections beyond the present limit.
  /// How long a retired connection counts, because the far end may hold it.
  std::chrono::milliseconds retired_hold{30000};
  /// After this long it stops to count where work needs a connection.
  std::chrono::milliseconds min_retired_hold{5000};
  std::chrono::milliseconds idle_timeout{
      30000};  ///< A surplus one closes then.
  std::chrono::milliseconds initial_backoff{50};  ///< After a refusal.
  std::chrono::milliseconds max_backoff{2000};
};

/// The connections of one upstream, never more than its limit.
class connection_pool {
 public:
  struct connection {
    enum class usage { kOpening, kIdle, kBusy };
    std::uint64_t id = 0;
    usage state = usage::kOpening;
    bool verified = false;      ///< The known incarnation answered on it.
    monotonic_time last_work;   ///< Its opening, when none.
    monotonic_time last_reply;  ///< To work or to a check.
  };

  connection_pool(int limit, const connection_pool_settings& settings,
                  std::uint64_t seed);

  /// Whether one more should be opened so that `wanted` can be in usage.
  bool ShouldOpen(int wanted, monotonic_time now);
  void OnOpening(std::uint64_t id, monotonic_time now);
  void OnOpened(std::uint64_t id, monotonic_time now);
  void OnRefused(std::uint64_t id, monotonic_time now);
  /// Closed by either end in the ordinary way: the far end knows.
  void OnClosed(std::uint64_t id);
  /// Closed here while the far end may not know.
  void Retire(std::uint64_t id, monotonic_time now);

  /// An idle connection for work: a verified one used last, if any.
  std::optional<connection> PickForWork() const;
  /// The idle connection without a reply longest, for a check of it.
  std::optional<connection> PickForCheck() const;
  void OnBusy(std::uint64_t id);
  /// An exchange on it has its reply; `work` tells it from a check.
  void OnIdle(std::uint64_t id, bool work, monotonic_time now);
  void Verify(std::uint64_t id);
  void UnverifyAllExcept(std::uint64_t id);

  /// An idle connection beyond `wanted` that nobody used for the idle limit.
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
  std::vector<connection> connections_;  // At most the limit: searched through.
  std::vector<monotonic_time> retired_;  // When each was, oldest first.
  std::chrono::milliseconds backoff_{0};
  monotonic_time next_open_at_{};
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_COORDINATION_CONNECTION_POOL_H_
