#ifndef PAPAYAGLADE_STATE_CHANGE_DELAYS_H_
#define PAPAYAGLADE_STATE_CHANGE_DELAYS_H_

#include <chrono>

namespace papayaglade {

/// Limits of the time from the store's acknowledgement of a change until every
/// instance acts on it.
struct change_delays {
  /// Of a new configuration.
  std::chrono::milliseconds configuration{3000};
  /// Of a data centre that is taken out.
  std::chrono::milliseconds closed_data_centre{5000};
  /// Of an upstream that is leaving.
  std::chrono::milliseconds leaving_upstream{3000};
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_STATE_CHANGE_DELAYS_H_
