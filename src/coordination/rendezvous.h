#ifndef PAPAYAGLADE_COORDINATION_RENDEZVOUS_H_
#define PAPAYAGLADE_COORDINATION_RENDEZVOUS_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace papayaglade {

/// A hash of both names that is the same in every process.
std::uint64_t RendezvousWeight(const std::string& key,
                               const std::string& candidate);

/// The `count` candidates of highest weight for `key`, heaviest first. A
/// candidate that comes or goes changes no other's order.
std::vector<std::string> RendezvousPick(const std::string& key,
                                        std::vector<std::string> candidates,
                                        std::size_t count);

}  // namespace papayaglade

#endif  // PAPAYAGLADE_COORDINATION_RENDEZVOUS_H_
