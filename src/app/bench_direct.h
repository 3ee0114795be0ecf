#ifndef PAPAYAGLADE_APP_BENCH_DIRECT_H_
#define PAPAYAGLADE_APP_BENCH_DIRECT_H_

#include <map>
#include <memory>
#include <string>

#include "app/bench_connections.h"
#include "app/bench_target.h"
#include "state/configuration.h"
#include "state/partition_map.h"

namespace papayaglade {

/// Asks the upstreams of one service itself, without entry or steward: the
/// baseline that the tier is compared with.
class bench_direct : public bench_target {
 public:
  bench_direct(boost::asio::io_context& io, const service_definition& service,
               partition_map map, std::string query,
               std::chrono::milliseconds timeout);

  void Ask(answer_handler done) override;

 private:
  struct open_query {
    answer_handler done;
    std::size_t waiting = 0;
    std::size_t answered = 0;
  };

  bench_connections& LeastLoaded(const shard_placement& shard);
  void OnReply(const std::shared_ptr<open_query>& query,
               const http_connection::outcome& result);

  std::map<std::string, std::unique_ptr<bench_connections>> upstreams_;
  partition_map map_;
  std::string query_;
  std::chrono::milliseconds timeout_;
  std::uint64_t last_attempt_ = 0;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_APP_BENCH_DIRECT_H_
