#ifndef PAPAYAGLADE_APP_ORDER_COMPONENT_H_
#define PAPAYAGLADE_APP_ORDER_COMPONENT_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "app/control_component.h"
#include "coordination/data_centre_orders.h"

namespace papayaglade {

/// Accepts operators' orders about data centres and keeps them in force.
class order_component : public control_component {
 public:
  explicit order_component(control_context& context);

  void OnTick(monotonic_time now) override;
  void OnObject(const versioned_object& object) override;
  bool OnOrder(const order_event& event) override;
  void Describe(nlohmann::json& status) const override;

 private:
  bool IsKnown(const std::string& data_centre) const;
  void UpdateKeeper();
  void PerformActions();
  void Perform(const read_order& action);
  void Perform(const write_order& action);
  void Perform(const distribute_order& action);
  void Perform(const order_result& action);
  static order_answer ToOrderAnswer(const platform_reply& reply,
                                    const std::string& data_centre);

  control_context& context_;
  data_centre_orders orders_;
  std::uint64_t last_ticket_ = 0;
  /// Replies of the orders that have no result yet, by ticket.
  std::map<std::uint64_t, std::function<void(std::string)>> replies_;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_APP_ORDER_COMPONENT_H_
