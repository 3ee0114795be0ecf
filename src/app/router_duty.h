#ifndef PAPAYAGLADE_APP_ROUTER_DUTY_H_
#define PAPAYAGLADE_APP_ROUTER_DUTY_H_

#include <memory>
#include <string>
#include <unordered_map>

#include "app/duty_thread.h"
#include "coordination/metrics_sink.h"
#include "coordination/ports.h"
#include "coordination/timer_service.h"
#include "state/events.h"
#include "state/instance_settings.h"

namespace papayaglade {

/// The router duty: plans each caller's request, asks stewards, answers.
class router_duty {
 public:
  router_duty(const instance_settings& settings, const instance_identity& self,
              timer_service& timer, peer_port& peers, platform_port& platform,
              steward_ring& stewards, metrics_sink& metrics,
              router_ring& inbox);
  ~router_duty();

  void Start();
  void Stop();

 private:
  struct open_query {
    caller_event event;
    monotonic_time deadline;
    account details;
    std::vector<hit> hits;
    std::size_t waiting = 0;
    std::size_t first_attempt = 0;
  };

  void Run();
  void Handle(tick& event);
  void Handle(view_update& event);
  void Handle(caller_event& event);
  void Handle(results_event& event);
  void Handle(peer_link_event& event);
  void Handle(platform_event& event);
  void Handle(status_query& event);
  void Handle(explain_query& event);
  void Handle(drain_event& event);

  std::string StewardOf(const std::string& upstream) const;
  void SendBatch(const std::string& steward, shard_batch batch,
                 monotonic_time deadline);
  void Finish(std::uint64_t query_id);

  instance_settings settings_;
  instance_identity self_;
  timer_service& timer_;
  peer_port& peers_;
  platform_port& platform_;
  steward_ring& stewards_;
  metrics_sink& metrics_;
  router_ring& inbox_;
  duty_thread thread_;
  timer_service::subscription subscription_ = 0;
  std::shared_ptr<const cluster_view> view_;
  std::uint64_t last_attempt_ = 0;
  std::unordered_map<std::uint64_t, open_query> queries_;
  std::unordered_map<std::uint64_t, std::uint64_t> query_of_attempt_;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_APP_ROUTER_DUTY_H_
