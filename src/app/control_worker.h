#ifndef PAPAYAGLADE_APP_CONTROL_WORKER_H_
#define PAPAYAGLADE_APP_CONTROL_WORKER_H_

#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "app/control_component.h"
#include "app/gossip_component.h"
#include "app/worker_thread.h"
#include "coordination/platform_client.h"
#include "coordination/timer_service.h"

namespace papayaglade {

/// Processes the control events of an instance: passes each event to the
/// components, maintains the view of the shared objects, and publishes changed
/// views to the router, the stewards and the readiness state.
class control_worker : private control_context {
 public:
  control_worker(const instance_settings& settings,
                 const instance_identity& self, timer_service& timer,
                 peer_port& peers, platform_port& platform, router_ring& router,
                 steward_ring& stewards, readiness_port& readiness,
                 metrics_sink& metrics, control_ring& inbox);
  ~control_worker() override;

  void Start();
  void Stop();

 private:
  // Implementation of control_context.
  const instance_settings& Settings() const override { return settings_; }
  const instance_identity& Self() const override { return self_; }
  monotonic_time Now() const override { return timer_.Now(); }
  metrics_sink& Metrics() override { return metrics_; }
  peer_port& Peers() override { return peers_; }
  bool Send(const std::string& peer, control_message message) override;
  bool SendToStewards(steward_event event) override;
  bool PostToControl(control_worker_event event) override;
  void CallPlatform(platform_operation operation,
                    platform_callback done) override;
  const std::vector<member>& Members() const override { return members_; }
  void SetMembers(std::vector<member> members) override;
  const cluster_view& View() const override { return view_; }
  bool Offer(versioned_object object) override;
  std::uint64_t VersionSummary() const override;
  void PublishView() override { view_changed_ = true; }

  void Run();
  void Handle(tick& event);
  void Handle(control_event& event);
  void Handle(peer_link_event& event);
  void Handle(platform_event& event);
  void Handle(order_event& event);
  void Handle(status_query& event);
  void Handle(handover_event& event);
  void Handle(drain_event& event);

  void DescribePlatform(nlohmann::json& status) const;
  /// Puts an object into the view. Returns false if its value is malformed.
  bool Accept(const versioned_object& object);
  void NotifyComponents();
  /// Returns whether the platform was reachable before and is not now.
  bool IsPlatformLost() const;
  /// Returns why this instance is not ready, or an empty string if it is.
  std::string ReasonNotReady() const;
  /// Publishes the view if it changed since it was last published.
  void PublishIfChanged();

  instance_settings settings_;
  instance_identity self_;
  timer_service& timer_;
  peer_port& peers_;
  router_ring& router_;
  steward_ring& stewards_;
  readiness_port& readiness_;
  metrics_sink& metrics_;
  control_ring& inbox_;
  worker_thread thread_;
  timer_service::subscription subscription_ = 0;
  platform_client platform_;
  std::vector<member> members_;
  bool members_changed_ = false;
  // Objects of the view that the components have not been notified of.
  std::deque<versioned_object> unannounced_objects_;
  cluster_view view_;
  bool view_changed_ = true;
  bool draining_ = false;
  bool platform_lost_ = false;
  std::vector<std::unique_ptr<control_component>> components_;
  gossip_component* gossip_ = nullptr;  // Element of components_.
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_APP_CONTROL_WORKER_H_
