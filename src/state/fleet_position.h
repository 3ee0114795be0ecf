#ifndef PAPAYAGLADE_STATE_FLEET_POSITION_H_
#define PAPAYAGLADE_STATE_FLEET_POSITION_H_

#include <cstddef>
#include <map>
#include <string>

namespace papayaglade {

/// The number of instances and the index of this one in the order of their
/// names. Limits that all instances share are divided by it.
struct fleet_position {
  /// The number of instances that is assumed until they have been counted.
  static constexpr std::size_t kAssumedInstances = 16;

  std::size_t instances = kAssumedInstances;
  std::size_t index = 0;  ///< Less than `instances`.
  /// Number of instances in each data centre; empty if unknown.
  std::map<std::string, std::size_t> by_data_centre;
};

inline bool operator==(const fleet_position& a, const fleet_position& b) {
  return a.instances == b.instances && a.index == b.index &&
         a.by_data_centre == b.by_data_centre;
}

}  // namespace papayaglade

#endif  // PAPAYAGLADE_STATE_FLEET_POSITION_H_
