#ifndef PAPAYAGLADE_APP_SPREAD_PART_H_
#define PAPAYAGLADE_APP_SPREAD_PART_H_

#include "app/control_part.h"

namespace papayaglade {

/// Learns the shared objects from the platform.
class spread_part : public control_part {
 public:
  explicit spread_part(control_context& context);

  void OnTick(monotonic_time now) override;

 private:
  void OnList(const platform_reply& reply);

  control_context& context_;
  int waiting_ = 0;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_APP_SPREAD_PART_H_
