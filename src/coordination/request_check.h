#ifndef PAPAYAGLADE_COORDINATION_REQUEST_CHECK_H_
#define PAPAYAGLADE_COORDINATION_REQUEST_CHECK_H_

#include <optional>

#include "coordination/routing_table.h"
#include "state/caller_messages.h"
#include "state/error.h"

namespace papayaglade {

/// Checks a well-formed request against the configuration in force. Returns an
/// error that names the invalid member and the remedy, or nothing.
std::optional<error> CheckRequest(const caller_request& request,
                                  const workload_route& route);

}  // namespace papayaglade

#endif  // PAPAYAGLADE_COORDINATION_REQUEST_CHECK_H_
