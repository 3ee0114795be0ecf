#ifndef PAPAYAGLADE_COORDINATION_OBJECT_MIRROR_H_
#define PAPAYAGLADE_COORDINATION_OBJECT_MIRROR_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "state/mirror_message.h"

namespace papayaglade {

/// A copy of the store's objects of one kind, and what changed lately. Its
/// revision only goes up, whoever the pages come from.
class object_mirror {
 public:
  explicit object_mirror(stored_kind kind) : kind_(kind) {}

  /// Takes a page that reaches beyond the known revision; returns what it
  /// changes here, each object once. A page that begins after the known
  /// revision has a gap and is refused: nothing is returned.
  std::optional<std::vector<mirrored_object>> Apply(const mirror_page& page);

  /// Nothing changed up to `revision`.
  void Advance(std::int64_t revision);

  /// What is newer than `revision`; nothing when there is nothing.
  std::optional<mirror_page> Since(std::int64_t revision) const;

  /// All objects have come once.
  bool Complete() const { return complete_; }
  std::int64_t Revision() const { return revision_; }
  stored_kind Kind() const { return kind_; }
  std::size_t Size() const { return documents_.size(); }

 private:
  mirror_page Whole() const;
  std::vector<mirrored_object> Changes(const mirror_page& page) const;
  void Keep(const mirror_page& page);

  stored_kind kind_;
  bool complete_ = false;
  std::int64_t revision_ = 0;
  std::map<std::string, std::string> documents_;  ///< By name.
  std::deque<mirror_page> recent_;  ///< Each begins where the last one ends.
  std::size_t recent_objects_ = 0;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_COORDINATION_OBJECT_MIRROR_H_
