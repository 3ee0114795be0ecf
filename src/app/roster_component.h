#ifndef PAPAYAGLADE_APP_ROSTER_COMPONENT_H_
#define PAPAYAGLADE_APP_ROSTER_COMPONENT_H_

#include <deque>
#include <functional>

#include "app/control_component.h"
#include "coordination/stewardship.h"

namespace papayaglade {

/// Performs the actions of the stewardship state machine: reads and writes
/// rosters, and sends standing updates and handovers.
class roster_component : public control_component {
 public:
  explicit roster_component(control_context& context);

  void OnTick(monotonic_time now) override;
  void OnControlMessage(const instance_identity& from,
                        const control_message& message) override;
  void OnMembersChanged() override;
  void OnObject(const versioned_object& object) override;
  void OnHandover(const handover_event& event) override;
  void OnDrain(const std::function<void()>& done) override;
  void Describe(nlohmann::json& status) const override;

 private:
  /// Passes the upstreams of the own data centre to the stewardship.
  void UpdateUpstreams();
  void PerformActions();
  void Perform(send_control& action);
  void Perform(read_roster& action);
  void Perform(write_roster& action);
  void Perform(standing_update& action);
  void Perform(release_upstreams& action);
  void Perform(handover_event& action);
  void Perform(leave_finished& action);
  void QueueForStewards(steward_event event);
  void FlushQueuedEvents();
  roster_answer ToRosterAnswer(const platform_reply& reply,
                               monotonic_time sent) const;
  /// Offers the newest roster if its epoch was not offered before.
  void OfferNewestRoster();

  control_context& context_;
  stewardship stewardship_;
  std::uint64_t offered_epoch_ = 0;
  /// Events that did not fit into the stewards' ring yet.
  std::deque<steward_event> queued_events_;
  std::function<void()> on_drained_;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_APP_ROSTER_COMPONENT_H_
