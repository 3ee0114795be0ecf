#ifndef PAPAYAGLADE_APP_CONTROL_COMPONENT_H_
#define PAPAYAGLADE_APP_CONTROL_COMPONENT_H_

#include <functional>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "coordination/metrics_sink.h"
#include "coordination/ports.h"
#include "state/events.h"
#include "state/instance_settings.h"
#include "state/member.h"
#include "state/versioned_object.h"

namespace papayaglade {

/// What the control duty offers to its parts. All calls and callbacks are on
/// the control thread.
class control_context {
 public:
  using platform_callback = std::function<void(const platform_reply&)>;

  virtual ~control_context() = default;

  virtual const instance_settings& Settings() const = 0;
  virtual const instance_identity& Self() const = 0;
  virtual monotonic_time Now() const = 0;
  virtual metrics_sink& Metrics() = 0;
  virtual peer_port& Peers() = 0;

  /// False when the message was not queued.
  virtual bool Send(const std::string& peer, control_message message) = 0;
  /// False when the stewards' ring is full; try again at the next tick.
  virtual bool SendToStewards(steward_event event) = 0;
  /// Puts an event into this duty's own ring; may be called on any thread.
  virtual bool PostToControl(control_duty_event event) = 0;
  /// Spends one call of this instance's budget, when there is one to spend.
  /// `done` is called once, always later. A put whose answer is lost is
  /// settled by reading back before `done` is called.
  virtual void CallPlatform(platform_operation operation,
                            platform_callback done) = 0;

  /// Members of this instance's own data centre, itself not among them.
  virtual const std::vector<member>& Members() const = 0;
  /// Called by the part that keeps membership.
  virtual void SetMembers(std::vector<member> members) = 0;
  /// What is agreed, as far as this instance knows.
  virtual const cluster_view& View() const = 0;
  /// Takes `object` into force here and tells peers, unless its version is
  /// not above the highest seen or its value is malformed; then false. The
  /// parts hear of it by OnObject after the present event.
  virtual bool Offer(versioned_object object) = 0;
  /// object_store::Summary of all objects in force here.
  virtual std::uint64_t VersionSummary() const = 0;
  /// Sends the view to the router and the stewards before the next event.
  virtual void PublishView() = 0;
};

/// One matter the control duty looks after. Each part sees every event.
class control_component {
 public:
  virtual ~control_component() = default;

  virtual void OnTick(monotonic_time /*now*/) {}
  virtual void OnControlMessage(const instance_identity& /*from*/,
                                const control_message& /*message*/) {}
  virtual void OnPeerLink(const peer_link_event& /*event*/) {}
  /// The list or a state in it changed.
  virtual void OnMembersChanged() {}
  /// An object of the view changed; the view already holds it.
  virtual void OnObject(const versioned_object& /*object*/) {}
  /// True when this part answers the order.
  virtual bool OnOrder(const order_event& /*event*/) { return false; }
  /// Upstreams' states that the router or the stewards passed to this duty.
  virtual void OnHandover(const handover_event& /*event*/) {}
  /// Begins a graceful end; `done` may be called later, exactly once.
  virtual void OnDrain(const std::function<void()>& done) { done(); }
  /// Adds this part's members to the operators' status object.
  virtual void Describe(nlohmann::json& /*status*/) const {}
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_APP_CONTROL_COMPONENT_H_
