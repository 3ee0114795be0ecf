#ifndef PAPAYAGLADE_COORDINATION_PROBE_ORDER_H_
#define PAPAYAGLADE_COORDINATION_PROBE_ORDER_H_

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "coordination/member_table.h"

namespace papayaglade {

/// Chooses the member to probe next: each living member once per round, in a
/// random order for each round, and occasionally a member believed dead.
class probe_order {
 public:
  /// Returns nullopt if there is no member to probe.
  std::optional<std::string> Next(const member_table& table,
                                  std::mt19937_64& random);

 private:
  std::optional<std::string> NextInRound(const member_table& table);

  std::vector<std::string> remaining_;  // Still to be probed in this round.
  std::uint64_t probe_count_ = 0;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_COORDINATION_PROBE_ORDER_H_
