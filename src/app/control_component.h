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

/// Interface of the control worker to its components. Calls and callbacks are
/// made on the control thread unless stated otherwise.
class control_context {
 public:
  using platform_callback = std::function<void(const platform_reply&)>;

  virtual ~control_context() = default;

  virtual const instance_settings& Settings() const = 0;
  virtual const instance_identity& Self() const = 0;
  virtual monotonic_time Now() const = 0;
  virtual metrics_sink& Metrics() = 0;
  virtual peer_port& Peers() = 0;

  /// Queues a message to a peer. Returns false if it was not queued.
  virtual bool Send(const std::string& peer, control_message message) = 0;
  /// Returns false if the stewards' ring is full; the caller retries at the
  /// next tick.
  virtual bool SendToStewards(steward_event event) = 0;
  /// Pushes an event to the ring of the control worker. May be called on any
  /// thread.
  virtual bool PostToControl(control_worker_event event) = 0;
  /// Makes a call as soon as this instance's limit of platform calls allows it.
  /// `done` is called exactly once, and never from within CallPlatform. If the
  /// answer to a put is lost, the object is read back to determine the result
  /// before `done` is called.
  virtual void CallPlatform(platform_operation operation,
                            platform_callback done) = 0;

  /// Returns the other members of this instance's data centre.
  virtual const std::vector<member>& Members() const = 0;
  /// Replaces the members. Called only by membership_component.
  virtual void SetMembers(std::vector<member> members) = 0;
  /// Returns the shared objects that are in force on this instance.
  virtual const cluster_view& View() const = 0;
  /// Puts `object` into force on this instance and sends it to peers. Returns
  /// false, without effect, if its version is not above the highest version
  /// seen or its value is malformed. The components are notified by OnObject
  /// after the current event.
  virtual bool Offer(versioned_object object) = 0;
  /// Returns object_store::Summary of all objects in force on this instance.
  virtual std::uint64_t VersionSummary() const = 0;
  /// Marks the view as changed, so that it is sent to the router and the
  /// stewards before the next event.
  virtual void PublishView() = 0;
};

/// A component of the control worker, responsible for one topic such as
/// membership or rosters. Every component receives every event, except that an
/// order goes only to the first component that handles it.
class control_component {
 public:
  virtual ~control_component() = default;

  virtual void OnTick(monotonic_time /*now*/) {}
  virtual void OnControlMessage(const instance_identity& /*from*/,
                                const control_message& /*message*/) {}
  virtual void OnPeerLink(const peer_link_event& /*event*/) {}
  /// Called when the list of members or the state of a member changed.
  virtual void OnMembersChanged() {}
  /// Called when an object of the view changed; the view already holds the new
  /// version.
  virtual void OnObject(const versioned_object& /*object*/) {}
  /// Returns true if this component answers the order.
  virtual bool OnOrder(const order_event& /*event*/) { return false; }
  /// Handles the states of released upstreams, sent by the router or the
  /// stewards.
  virtual void OnHandover(const handover_event& /*event*/) {}
  /// Starts a graceful shutdown. `done` is called exactly once, possibly later.
  virtual void OnDrain(const std::function<void()>& done) { done(); }
  /// Adds this component's fields to the operators' status object.
  virtual void Describe(nlohmann::json& /*status*/) const {}
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_APP_CONTROL_COMPONENT_H_
