#ifndef PAPAYAGLADE_APP_GOSSIP_COMPONENT_H_
#define PAPAYAGLADE_APP_GOSSIP_COMPONENT_H_

#include <array>

#include "app/control_component.h"
#include "coordination/object_feed.h"
#include "coordination/object_gossip.h"

namespace papayaglade {

/// Receives the shared objects from the platform or from peers and spreads
/// them.
class gossip_component : public control_component {
 public:
  /// `accept` puts an object into the view; see object_gossip::accept_function.
  gossip_component(control_context& context,
                   object_gossip::accept_function accept);

  /// Passes `object` to the gossip; see control_context::Offer.
  bool Offer(const versioned_object& object);
  std::uint64_t VersionSummary() const { return gossip_.Store().Summary(); }

  void OnTick(monotonic_time now) override;
  void OnControlMessage(const instance_identity& from,
                        const control_message& message) override;
  void OnMembersChanged() override;
  void OnObject(const versioned_object& object) override;
  void Describe(nlohmann::json& status) const override;

 private:
  /// Handles the answer to a read of `feed`.
  void OnRead(object_feed& feed, const platform_reply& reply);
  void UpdateAddresses(const std::string& data_centre);
  /// Chooses the peers to exchange objects with and the watchers of the
  /// platform.
  void ChoosePeers();
  /// Determines whether this instance watches the platform for its data centre.
  void ChooseWatchers(std::vector<std::string> alive);
  /// Returns the instances of other data centres that this instance exchanges
  /// objects with.
  std::vector<std::string> Gateways() const;
  void Flush();

  control_context& context_;
  object_gossip gossip_;
  std::array<object_feed, 4> feeds_;
  bool watching_ = false;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_APP_GOSSIP_COMPONENT_H_
