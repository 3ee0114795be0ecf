#ifndef PAPAYAGLADE_TRANSPORT_UPSTREAM_CONNECTION_MANAGER_H_
#define PAPAYAGLADE_TRANSPORT_UPSTREAM_CONNECTION_MANAGER_H_

#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <unordered_map>
#include <variant>

#include "coordination/ports.h"
#include "state/events.h"
#include "transport/io_inbox.h"
#include "transport/io_thread.h"
#include "transport/upstream_connection.h"

namespace papayaglade {

/// The upstreams worker: executes connection commands and reports their results
/// to the stewards worker, which makes all decisions.
class upstream_connection_manager : public upstream_port,
                                    private upstream_connection_listener {
 public:
  explicit upstream_connection_manager(steward_ring& stewards);
  ~upstream_connection_manager() override;

  void Start();
  void Stop();

  bool Send(upstream_command command) override;

 private:
  void Open(const open_connection& command);
  void Close(const close_connection& command);
  void Exchange(send_exchange command);
  void OnConnected(std::uint64_t connection_id) override;
  void OnReply(exchange_reply reply) override;
  void OnBroken(const connection_failed& failure) override;
  void Report(steward_event event);
  void RetryReports();

  steward_ring& stewards_;
  io_thread thread_;
  io_inbox<upstream_command> inbox_;
  std::unordered_map<std::uint64_t, std::shared_ptr<upstream_connection>>
      connections_;
  /// Events that did not fit into the ring.
  std::deque<steward_event> unreported_;
  boost::asio::steady_timer retry_timer_;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_TRANSPORT_UPSTREAM_CONNECTION_MANAGER_H_
