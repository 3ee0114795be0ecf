#ifndef PAPAYAGLADE_APP_SPREAD_PART_H_
#define PAPAYAGLADE_APP_SPREAD_PART_H_

#include <array>

#include "app/control_part.h"
#include "coordination/object_feed.h"
#include "coordination/object_gossip.h"

namespace papayaglade {

/// Brings the shared objects here, from the platform or from peers.
class spread_part : public control_part {
 public:
  /// `accept` puts an object into the view; see object_gossip.
  spread_part(control_context& context, object_gossip::accept_function accept);

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
  void LearnAddresses(const std::string& data_centre);
  void ChoosePeers();
  void ChooseWatchers(std::vector<std::string> alive);
  std::vector<std::string> Gateways() const;
  void Flush();

  control_context& context_;
  object_gossip spread_;
  std::array<object_feed, 4> feeds_;
  bool watching_ = false;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_APP_SPREAD_PART_H_
