#ifndef PAPAYAGLADE_APP_DISPATCH_ADAPTER_H_
#define PAPAYAGLADE_APP_DISPATCH_ADAPTER_H_

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "app/result_outbox.h"
#include "coordination/ports.h"
#include "coordination/timer_service.h"
#include "coordination/upstream_dispatcher.h"

namespace papayaglade {

/// Counts of one upstream since the last report to the metrics.
struct dispatch_counts {
  std::uint64_t requests = 0;
  std::uint64_t losses = 0;
  /// Results without an answer, by shard_reason.
  std::array<std::uint64_t, 16> refusals{};
};

/// Performs the actions of the dispatcher of one upstream: encodes requests for
/// the upstream links and collects results in the outbox.
class dispatch_adapter : public dispatch_port {
 public:
  /// `number` is the number of the upstream; it is part of all ids, so that the
  /// ids of different upstreams differ.
  dispatch_adapter(std::uint64_t number, timer_service& timer,
                   upstream_port& upstreams, result_outbox& results);

  /// Returns the number of the upstream that `id` belongs to.
  static std::uint64_t UpstreamNumberOf(std::uint64_t id);

  monotonic_time Now() const override { return timer_.Now(); }
  std::uint64_t NextId() override;
  bool Open(const open_connection& command) override;
  void Close(std::uint64_t connection_id) override;
  bool SendWork(std::uint64_t connection_id, std::uint64_t exchange_id,
                const queued_attempt& attempt, monotonic_time now,
                monotonic_time not_after) override;
  bool SendCancel(std::uint64_t connection_id, std::uint64_t exchange_id,
                  const std::vector<queued_attempt>& attempts) override;
  bool SendHealth(std::uint64_t connection_id,
                  std::uint64_t exchange_id) override;
  void Finish(const queued_attempt& attempt, shard_result result) override;

  /// Returns the counts since the previous call.
  dispatch_counts TakeCounts();

 private:
  std::uint64_t upstream_number_;
  timer_service& timer_;
  upstream_port& upstreams_;
  result_outbox& results_;
  std::uint64_t last_id_ = 0;
  /// Connections to close that the upstream links have not accepted yet.
  std::vector<std::uint64_t> pending_closes_;
  dispatch_counts counts_;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_APP_DISPATCH_ADAPTER_H_
