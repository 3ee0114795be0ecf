#ifndef PAPAYAGLADE_APP_SPREAD_COMPONENT_H_
#define PAPAYAGLADE_APP_SPREAD_COMPONENT_H_

#include <array>

#include "app/control_component.h"
#include "coordination/config_spread.h"
#include "coordination/object_feed.h"

namespace papayaglade {

/// Brings the shared objects here, from the platform or from peers.
class spread_component : public control_component {
 public:
  /// `accept` puts an object into the view; see config_spread.
  spread_component(control_context& context, config_spread::acceptor accept);

  /// See control_context::Offer.
  bool Offer(const versioned_object& object);
  std::uint64_t VersionSummary() const { return spread_.Store().Summary(); }

  void OnTick(monotonic_time now) override;
  void OnControlMessage(const instance_identity& from,
                        const control_message& message) override;
  void OnMembersChanged() override;
  void OnObject(const versioned_object& object) override;
  void Describe(nlohmann::json& status) const override;

 private:
  void OnRead(object_feed& feed, const platform_reply& reply);
  void UpdateAddresses(const std::string& data_centre);
  void ChoosePeers();
  void ChooseWatchers(std::vector<std::string> alive);
  std::vector<std::string> Gateways() const;
  void Flush();

  control_context& context_;
  config_spread spread_;
  std::array<object_feed, 4> feeds_;
  bool watching_ = false;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_APP_SPREAD_COMPONENT_H_
