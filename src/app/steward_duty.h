#ifndef PAPAYAGLADE_APP_STEWARD_DUTY_H_
#define PAPAYAGLADE_APP_STEWARD_DUTY_H_

#include <deque>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "app/duty_thread.h"
#include "coordination/metrics_sink.h"
#include "coordination/ports.h"
#include "coordination/timer_service.h"
#include "state/events.h"
#include "state/instance_settings.h"

namespace papayaglade {

/// The stewards duty: admits work to the upstreams assigned to this instance
/// and sends it over their connections.
class steward_duty {
 public:
  steward_duty(const instance_settings& settings, const instance_identity& self,
               timer_service& timer, peer_port& peers, upstream_port& upstreams,
               router_ring& router, metrics_sink& metrics, steward_ring& inbox);
  ~steward_duty();

  void Start();
  void Stop();

 private:
  struct queued_attempt {
    std::uint64_t exchange_id = 0;
    std::shared_ptr<const shard_batch> batch;
    std::size_t index = 0;
    monotonic_time deadline;
    monotonic_time sent;
  };
  struct served_upstream {
    upstream_definition definition;
    std::vector<std::uint64_t> idle;
    int opened = 0;
    std::deque<queued_attempt> queue;
  };

  void Run();
  void Handle(tick& event);
  void Handle(view_update& event);
  void Handle(standing_update& event);
  void Handle(batch_event& event);
  void Handle(cancel_event& event);
  void Handle(connection_opened& event);
  void Handle(connection_failed& event);
  void Handle(exchange_reply& event);
  void Handle(handover_event& event);
  void Handle(handover_request& event);
  void Handle(peer_link_event& event);
  void Handle(status_query& event);
  void Handle(drain_event& event);

  void Pump(served_upstream& upstream);
  void Answer(const queued_attempt& attempt, shard_result result);

  instance_settings settings_;
  instance_identity self_;
  timer_service& timer_;
  peer_port& peers_;
  upstream_port& upstreams_;
  router_ring& router_;
  metrics_sink& metrics_;
  steward_ring& inbox_;
  duty_thread thread_;
  timer_service::subscription subscription_ = 0;
  std::shared_ptr<const cluster_view> view_;
  std::unordered_map<std::string, served_upstream> served_;
  std::unordered_map<std::uint64_t, std::string> owner_of_connection_;
  std::unordered_map<std::uint64_t, queued_attempt> in_flight_;
  std::uint64_t last_id_ = 0;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_APP_STEWARD_DUTY_H_
