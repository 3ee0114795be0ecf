#ifndef PAPAYAGLADE_STATE_STORE_POSITION_H_
#define PAPAYAGLADE_STATE_STORE_POSITION_H_

#include <cstdint>
#include <tuple>

namespace papayaglade {

/// The era of a position in a store that names none, or whose era is unknown.
constexpr std::int64_t kNoEra = -1;

/// A point in the history of the store. A store that was restored from a copy
/// begins a new era, in which it gives out the revisions after that of the copy
/// once more. Revisions are therefore compared within an era only, and every
/// position in a later era is later.
struct store_position {
  store_position() = default;
  store_position(std::int64_t era_number, std::int64_t revision_number)
      : era(era_number), revision(revision_number) {}

  std::int64_t era = kNoEra;
  std::int64_t revision = 0;
};

inline bool operator==(const store_position& a, const store_position& b) {
  return a.era == b.era && a.revision == b.revision;
}
inline bool operator!=(const store_position& a, const store_position& b) {
  return !(a == b);
}
inline bool operator<(const store_position& a, const store_position& b) {
  return std::tie(a.era, a.revision) < std::tie(b.era, b.revision);
}
inline bool operator>(const store_position& a, const store_position& b) {
  return b < a;
}
inline bool operator<=(const store_position& a, const store_position& b) {
  return !(b < a);
}
inline bool operator>=(const store_position& a, const store_position& b) {
  return !(a < b);
}

}  // namespace papayaglade

#endif  // PAPAYAGLADE_STATE_STORE_POSITION_H_
