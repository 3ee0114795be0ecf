#ifndef PAPAYAGLADE_APP_CONTROL_DUTY_H_
#define PAPAYAGLADE_APP_CONTROL_DUTY_H_

#include <map>
#include <memory>
#include <string>

#include "app/duty_thread.h"
#include "coordination/metrics_sink.h"
#include "coordination/ports.h"
#include "coordination/timer_service.h"
#include "state/events.h"
#include "state/instance_settings.h"

namespace papayaglade {

/// The control duty: membership, rosters, orders and configuration.
class control_duty {
 public:
  control_duty(const instance_settings& settings, const instance_identity& self,
               timer_service& timer, peer_port& peers, platform_port& platform,
               router_ring& router, steward_ring& stewards,
               readiness_port& readiness, metrics_sink& metrics,
               control_ring& inbox);
  ~control_duty();

  void Start();
  void Stop();

 private:
  void Run();
  void Handle(tick& event);
  void Handle(control_event& event);
  void Handle(peer_link_event& event);
  void Handle(platform_event& event);
  void Handle(order_event& event);
  void Handle(status_query& event);
  void Handle(handover_event& event);
  void Handle(drain_event& event);

  void OnRosters(const platform_reply& reply);
  void Publish();

  instance_settings settings_;
  instance_identity self_;
  timer_service& timer_;
  peer_port& peers_;
  platform_port& platform_;
  router_ring& router_;
  steward_ring& stewards_;
  readiness_port& readiness_;
  metrics_sink& metrics_;
  control_ring& inbox_;
  duty_thread thread_;
  timer_service::subscription subscription_ = 0;
  std::uint64_t last_call_ = 0;
  std::map<std::uint64_t, std::string> kind_of_call_;
  cluster_view view_;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_APP_CONTROL_DUTY_H_
