#ifndef PAPAYAGLADE_STATE_CONFIGURATION_DIFF_H_
#define PAPAYAGLADE_STATE_CONFIGURATION_DIFF_H_

#include <string>
#include <vector>

#include "state/configuration.h"

namespace papayaglade {

/// The difference of one service between two configurations.
struct service_change {
  enum class change_kind { kAdded, kRemoved, kChanged };
  change_kind kind = change_kind::kChanged;
  std::string service;
};

/// Lists the services that differ, sorted by name.
std::vector<service_change> DiffConfigurations(const configuration& before,
                                               const configuration& after);

/// Formats changes as "+added -removed ~changed", or "nothing".
std::string FormatChanges(const std::vector<service_change>& changes);

bool operator==(const workload& a, const workload& b);
bool operator==(const upstream_definition& a, const upstream_definition& b);
bool operator==(const service_definition& a, const service_definition& b);

}  // namespace papayaglade

#endif  // PAPAYAGLADE_STATE_CONFIGURATION_DIFF_H_
