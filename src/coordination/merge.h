#ifndef PAPAYAGLADE_COORDINATION_MERGE_H_
#define PAPAYAGLADE_COORDINATION_MERGE_H_

#include <cstddef>
#include <vector>

#include "state/shard_messages.h"

namespace papayaglade {

/// Returns the `max_hits` best hits by score, best first. Of hits with the same
/// key only the best one is kept. Equal scores are ordered by key.
std::vector<hit> MergeHits(std::vector<hit> hits, std::size_t max_hits);

}  // namespace papayaglade

#endif  // PAPAYAGLADE_COORDINATION_MERGE_H_
