#ifndef PAPAYAGLADE_APP_BENCH_DIRECT_TARGET_H_
#define PAPAYAGLADE_APP_BENCH_DIRECT_TARGET_H_

#include <map>
#include <memory>
#include <string>

#include "app/bench_connection_pool.h"
#include "app/bench_target.h"
#include "state/configuration.h"
#include "state/partition_map.h"

namespace papayaglade {

/// Sends queries directly to the upstreams of one service, without an entry
/// instance or a steward, as the baseline for comparisons.
class bench_direct_target : public bench_target {
 public:
  bench_direct_target(boost::asio::io_context& io,
                      const service_definition& service, partition_map map,
                      std::string query, std::chrono::milliseconds timeout);

  void Send(answer_handler done) override;

 private:
  struct pending_query {
    answer_handler done;
    std::size_t replies_pending = 0;
    std::size_t shards_answered = 0;
  };

  /// Returns the connections of the replica of `shard` with the fewest
  /// requests.
  bench_connection_pool& LeastLoaded(const shard_placement& shard);
  void OnReply(const std::shared_ptr<pending_query>& query,
               const http_connection::outcome& result);

  std::map<std::string, std::unique_ptr<bench_connection_pool>> upstreams_;
  partition_map map_;
  std::string query_;
  std::chrono::milliseconds timeout_;
  std::uint64_t last_attempt_ = 0;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_APP_BENCH_DIRECT_TARGET_H_
