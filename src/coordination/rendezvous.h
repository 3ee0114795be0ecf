#ifndef PAPAYAGLADE_COORDINATION_RENDEZVOUS_H_
#define PAPAYAGLADE_COORDINATION_RENDEZVOUS_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace papayaglade {

/// Returns a hash of both names that is the same in every process.
std::uint64_t RendezvousWeight(const std::string& key,
                               const std::string& candidate);

/// Returns the `count` candidates of highest weight for `key`, highest first.
/// Adding or removing a candidate does not change the order of the others.
std::vector<std::string> RendezvousPick(const std::string& key,
                                        std::vector<std::string> candidates,
                                        std::size_t count);

}  // namespace papayaglade

#endif  // PAPAYAGLADE_COORDINATION_RENDEZVOUS_H_
