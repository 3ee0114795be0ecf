#ifndef PAPAYAGLADE_PROTOCOL_CONFIGURATION_CHECK_H_
#define PAPAYAGLADE_PROTOCOL_CONFIGURATION_CHECK_H_

#include <string>
#include <vector>

#include "protocol/fault.h"
#include "state/configuration.h"

namespace papayaglade {

/// The largest value the platform stores.
constexpr std::size_t kMaxObjectBytes = 1'000'000;

/// Checks services against each other: names of services, workloads and
/// upstreams, and upstream addresses, stand once. `origins` names the file of
/// each service; the whole must fit one object of the platform.
void CheckConfiguration(const configuration& config,
                        const std::vector<std::string>& origins,
                        fault_list& faults);

}  // namespace papayaglade

#endif  // PAPAYAGLADE_PROTOCOL_CONFIGURATION_CHECK_H_
