#ifndef PAPAYAGLADE_APP_DATA_CENTRE_ORDER_WRITER_H_
#define PAPAYAGLADE_APP_DATA_CENTRE_ORDER_WRITER_H_

#include <string>
#include <variant>

#include "coordination/blocking_platform.h"
#include "state/cluster_view.h"
#include "state/error.h"

namespace papayaglade {

/// Writes data-centre orders to the platform.
class data_centre_order_writer {
 public:
  explicit data_centre_order_writer(blocking_platform& platform);

  /// Takes `data_centre` out of service, or back in. Writes an order with the
  /// next generation unless the order in force already says so. Returns the
  /// order in force, or an error.
  std::variant<data_centre_order, error> Write(const std::string& data_centre,
                                               bool out);

 private:
  blocking_platform& platform_;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_APP_DATA_CENTRE_ORDER_WRITER_H_
