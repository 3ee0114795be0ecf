#ifndef PAPAYAGLADE_COORDINATION_REQUEST_KEY_H_
#define PAPAYAGLADE_COORDINATION_REQUEST_KEY_H_

#include <cstdint>
#include <string>

#include "state/caller_messages.h"

namespace papayaglade {

/// A hash that is the same in every instance and version.
std::uint64_t StableHash(const std::string& text);

/// Tells requests with different content apart under one request key.
std::string FingerprintOf(const caller_request& request);

/// Decides which upstream gets a request that may run once only.
std::uint64_t PlacementHash(const caller_request& request);

}  // namespace papayaglade

#endif  // PAPAYAGLADE_COORDINATION_REQUEST_KEY_H_
