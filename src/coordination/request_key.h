#ifndef PAPAYAGLADE_COORDINATION_REQUEST_KEY_H_
#define PAPAYAGLADE_COORDINATION_REQUEST_KEY_H_

#include <cstdint>
#include <string>

#include "state/caller_messages.h"

namespace papayaglade {

/// Returns a hash that is the same in every instance and version.
std::uint64_t StableHash(const std::string& text);

/// Returns a fingerprint that distinguishes requests of different content with
/// the same request key.
std::string FingerprintOf(const caller_request& request);

/// Returns the hash that selects the upstream for a request that may run only
/// once.
std::uint64_t PlacementHash(const caller_request& request);

}  // namespace papayaglade

#endif  // PAPAYAGLADE_COORDINATION_REQUEST_KEY_H_
