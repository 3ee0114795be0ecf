#ifndef PAPAYAGLADE_PROTOCOL_CONFIGURATION_CHECK_H_
#define PAPAYAGLADE_PROTOCOL_CONFIGURATION_CHECK_H_

#include <string>
#include <vector>

#include "protocol/fault.h"
#include "state/configuration.h"

namespace papayaglade {

/// The maximum size of a value that the platform stores.
constexpr std::size_t kMaxObjectBytes = 1'000'000;

/// Adds a fault for each name of a service, workload or upstream, and each
/// upstream address, that is used more than once, and a fault if the
/// configuration exceeds kMaxObjectBytes. `origins` holds the file name of each
/// service.
void CheckConfiguration(const configuration& config,
                        const std::vector<std::string>& origins,
                        fault_list& faults);

}  // namespace papayaglade

#endif  // PAPAYAGLADE_PROTOCOL_CONFIGURATION_CHECK_H_
