#ifndef PAPAYAGLADE_COORDINATION_RECORD_MERGE_H_
#define PAPAYAGLADE_COORDINATION_RECORD_MERGE_H_

#include <cstddef>
#include <string>
#include <vector>

namespace papayaglade {

/// Size in bytes of one record of a binary shard answer.
constexpr std::size_t kRecordBytes = 16;

/// Returns the `top` greatest records of all parts, greatest first, compared
/// byte by byte. Equal records are all kept; an incomplete record at the end of
/// a part is ignored.
std::string MergeRecords(const std::vector<const std::string*>& parts,
                         std::size_t top);

/// Returns a part that merges with others into the same `top` records as `part`
/// and takes less memory if `part` is large.
std::string ReducePart(std::string part, std::size_t top);

}  // namespace papayaglade

#endif  // PAPAYAGLADE_COORDINATION_RECORD_MERGE_H_
