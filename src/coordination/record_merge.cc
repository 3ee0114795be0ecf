#include "coordination/record_merge.h"

#include <algorithm>
#include <cstring>

namespace papayaglade {

namespace {

// A smaller part is not worth the time.
constexpr std::size_t kSmallPartBytes = 16UL * 1024;

}  // namespace

std::string MergeRecords(const std::vector<const std::string*>& parts,
                         std::size_t top) {
  std::vector<const char*> records;
  for (const std::string* part : parts) {
    const std::size_t count = part->size() / kRecordBytes;
    for (std::size_t i = 0; i < count; ++i) {
      records.push_back(part->data() + i * kRecordBytes);
    }
  }
  const auto greater = [](const char* a, const char* b) {
    return std::memcmp(a, b, kRecordBytes) > 0;
  };
  const std::size_t kept = std::min(top, records.size());
  std::partial_sort(records.begin(),
                    records.begin() + static_cast<std::ptrdiff_t>(kept),
                    records.end(), greater);
  std::string merged;
  merged.reserve(kept * kRecordBytes);
  for (std::size_t i = 0; i < kept; ++i) {
    merged.append(records[i], kRecordBytes);
  }
  return merged;
}

std::string ReducePart(std::string part, std::size_t top) {
  if (part.size() <= kSmallPartBytes) return part;
  return MergeRecords({&part}, top);
}

}  // namespace papayaglade
