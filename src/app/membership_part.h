#ifndef PAPAYAGLADE_APP_MEMBERSHIP_PART_H_
#define PAPAYAGLADE_APP_MEMBERSHIP_PART_H_

#include "app/control_part.h"
#include "coordination/backoff.h"
#include "coordination/membership.h"

namespace papayaglade {

/// Runs membership of the own data centre and gathers hints for it.
class membership_part : public control_part {
 public:
  explicit membership_part(control_context& context);

  void OnTick(monotonic_time now) override;
  void OnControlMessage(const instance_identity& from,
                        const control_message& message) override;
  void OnPeerLink(const peer_link_event& event) override;
  void OnObject(const versioned_object& object) override;
  void OnDrain(const std::function<void()>& done) override;
  void Describe(nlohmann::json& status) const override;

 private:
  void HintSeeds(monotonic_time now);
  void AskInstanceList(monotonic_time now);
  void OnInstanceList(const platform_reply& reply);
  void Flush();
  void EndIfSuperseded();

  control_context& context_;
  std::mt19937_64 random_;
  membership membership_;
  backoff list_wait_;
  bool listing_ = false;
  bool ending_ = false;
  monotonic_time next_list_;
  monotonic_time next_seeds_;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_APP_MEMBERSHIP_PART_H_
