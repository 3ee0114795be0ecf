#ifndef PAPAYAGLADE_TRANSPORT_PLATFORM_CONNECTION_POOL_H_
#define PAPAYAGLADE_TRANSPORT_PLATFORM_CONNECTION_POOL_H_

#include <functional>
#include <memory>
#include <vector>

#include "coordination/ports.h"
#include "state/events.h"
#include "transport/http_connection.h"
#include "transport/io_inbox.h"
#include "transport/io_thread.h"

namespace papayaglade {

/// The platform worker: sends calls to the Object API over kept-alive HTTP
/// connections and returns each reply to the worker that made the call.
class platform_connection_pool : public platform_port {
 public:
  platform_connection_pool(const endpoint& platform, control_ring& control,
                           router_ring& router);
  ~platform_connection_pool() override;

  void Start();
  void Stop();

  bool CallFromControl(platform_call call) override;
  bool CallFromRouter(platform_call call) override;

 private:
  enum class origin { kControl, kRouter };
  struct queued_call {
    origin from = origin::kControl;
    platform_call call;
  };
  using connection_pointer = std::shared_ptr<http_connection>;

  void StartCall(const queued_call& item);
  void Exchange(const queued_call& item, const connection_pointer& connection);
  void DeliverReply(origin from, const platform_reply& reply);

  endpoint platform_;
  control_ring& control_;
  router_ring& router_;
  io_thread thread_;
  io_inbox<queued_call> inbox_;
  std::vector<connection_pointer>
      idle_connections_;  ///< The last used connection is at the back.
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_TRANSPORT_PLATFORM_CONNECTION_POOL_H_
