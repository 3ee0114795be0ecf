#ifndef PAPAYAGLADE_TRANSPORT_UPSTREAM_CLIENT_H_
#define PAPAYAGLADE_TRANSPORT_UPSTREAM_CLIENT_H_

#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "coordination/attempt_policy.h"
#include "coordination/upstream_directory.h"
#include "protocol/entry_wire_format.h"
#include "transport/http_exchange_channel.h"

namespace papayaglade {

/// Sends attempts over pooled connections, and tells the directory how each
/// upstream fares, also after the sender has lost interest.
class upstream_client {
 public:
  using id = std::uint64_t;
  using handler = std::function<void(attempt_result)>;
  struct attempt_spec {
    upstream_pointer upstream;
    std::shared_ptr<const entry_request> request;
    std::shared_ptr<const tier_configuration> configuration;
    const route* target = nullptr;  ///< Lives in `configuration`.
    std::chrono::milliseconds time_left{0};
  };
  struct totals {
    std::size_t sent = 0;
    std::size_t connected = 0;
    std::map<attempt_end, std::size_t> ends;
  };

  upstream_client(loop_context& loop, const entry_wire_format& wire,
                  upstream_directory& directory, attempt_policy& policy,
                  reachability_monitor& paths);

  /// `done` is called later, never from within StartAttempt.
  id StartAttempt(attempt_spec spec, handler done);
  /// The result is of no more use; the exchange may still end by itself.
  void Abandon(id exchange);

  /// Told of upstreams that did not answer within `age`.
  using silence_handler = std::function<void(const upstream_record& upstream,
                                             std::chrono::milliseconds age)>;
  void SetOnSilent(silence_handler on_silent) {
    on_silent_ = std::move(on_silent);
  }

  /// Tries whether `upstream` accepts a connection, and tells the paths.
  void Probe(const upstream_pointer& upstream);

  /// Closes connections to upstreams that were forgotten or idled too long.
  void CloseUnusedConnections();

  const totals& Totals() const { return totals_; }

 private:
  using channel_pointer = std::shared_ptr<http_exchange_channel>;
  struct exchange {
    attempt_spec spec;
    channel_pointer channel;
    handler done;  ///< Empty once abandoned.
    monotonic_time start_time;
    std::chrono::microseconds usual_latency{0};
    bool fanout = false;
  };

  channel_pointer AcquireChannel(const upstream_pointer& upstream);
  void OnResult(id number, http_exchange_channel::result result);
  void RecordHealth(const exchange& ended, attempt_end end);
  void RecordPath(const exchange& ended, bool contact);
  void ReturnChannel(const upstream_pointer& upstream, channel_pointer channel);
  void OnAbandonedTimeout(id number);

  loop_context& loop_;
  const entry_wire_format& wire_;
  upstream_directory& directory_;
  attempt_policy& policy_;
  reachability_monitor& paths_;
  id last_id_ = 0;
  std::unordered_map<id, exchange> exchanges_;
  /// Idle connections. Each process of an upstream has an object of its own,
  /// so connections to two processes at one address are never mixed up; each
  /// pool keeps its upstream alive, so addresses of objects are not reused.
  struct pool {
    upstream_pointer upstream;
    std::vector<channel_pointer> idle;
  };
  std::unordered_map<const known_upstream*, pool> pools_;
  silence_handler on_silent_;
  totals totals_;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_TRANSPORT_UPSTREAM_CLIENT_H_
