#ifndef PAPAYAGLADE_APP_BENCH_ENTRY_TARGET_H_
#define PAPAYAGLADE_APP_BENCH_ENTRY_TARGET_H_

#include <memory>
#include <string>
#include <vector>

#include "app/bench_connection_pool.h"
#include "app/bench_target.h"

namespace papayaglade {

/// Sends queries to the callers' ports of entry instances in turn.
class bench_entry_target : public bench_target {
 public:
  /// Uses at most `connections` connections to each instance, and sends the
  /// request bodies in turn.
  bench_entry_target(boost::asio::io_context& io,
                     const std::vector<endpoint>& entries,
                     std::size_t connections, std::chrono::milliseconds timeout,
                     std::vector<std::string> bodies);

  void Send(answer_handler done) override;

 private:
  std::vector<std::unique_ptr<bench_connection_pool>> entries_;
  std::vector<std::string> bodies_;
  std::size_t sent_count_ = 0;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_APP_BENCH_ENTRY_TARGET_H_
