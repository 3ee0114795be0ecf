#ifndef PAPAYAGLADE_APP_MEMBERSHIP_COMPONENT_H_
#define PAPAYAGLADE_APP_MEMBERSHIP_COMPONENT_H_

#include "app/control_component.h"
#include "coordination/backoff.h"
#include "coordination/membership.h"

namespace papayaglade {

/// Runs the membership protocol of the own data centre and gives it hints:
/// addresses from the seeds, the platform's list of instances and the roster.
class membership_component : public control_component {
 public:
  explicit membership_component(control_context& context);

  void OnTick(monotonic_time now) override;
  void OnControlMessage(const instance_identity& from,
                        const control_message& message) override;
  void OnPeerLink(const peer_link_event& event) override;
  void OnObject(const versioned_object& object) override;
  void OnDrain(const std::function<void()>& done) override;
  void Describe(nlohmann::json& status) const override;

 private:
  void AddSeedHints(monotonic_time now);
  void RequestInstanceList(monotonic_time now);
  void OnInstanceList(const platform_reply& reply);
  void Flush();
  void TerminateIfSuperseded();

  control_context& context_;
  std::mt19937_64 random_;
  membership membership_;
  backoff list_backoff_;
  bool list_pending_ = false;
  bool termination_requested_ = false;
  monotonic_time next_list_time_;
  monotonic_time next_seed_time_;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_APP_MEMBERSHIP_COMPONENT_H_
