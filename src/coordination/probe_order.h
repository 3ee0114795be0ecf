#ifndef PAPAYAGLADE_COORDINATION_PROBE_ORDER_H_
#define PAPAYAGLADE_COORDINATION_PROBE_ORDER_H_

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "coordination/member_table.h"

namespace papayaglade {

/// Chooses whom to probe next: each living member once a round, in an order
/// that is new in each round, and now and then one believed dead.
class probe_order {
 public:
  /// Nothing when no member is left to probe.
  std::optional<std::string> Next(const member_table& table,
                                  std::mt19937_64& random);

 private:
  std::optional<std::string> NextInRound(const member_table& table);

  std::vector<std::string> remaining_;  // In this round.
  std::uint64_t probe_count_ = 0;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_COORDINATION_PROBE_ORDER_H_
