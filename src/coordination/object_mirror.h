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
  /// changes here, each object once. Nothing is returned for a page that does
  /// not fit: changes after a gap, or a difference to another copy.
  std::optional<std::vector<mirrored_object>> Apply(const mirror_page& page);

  /// Nothing changed up to `revision`.
  void AdvanceRevision(std::int64_t revision);

  /// What a copy at `position` lacks; nothing when that is nothing.
  std::optional<mirror_page> PageSince(const mirror_position& position) const;

  /// The same for copies that are as this one was before `changes`: `base` is
  /// what Digest was then.
  mirror_page MakeDifference(std::uint64_t base,
                             std::vector<mirrored_object> changes) const;

  mirror_position Position() const;
  /// Of all objects, in whatever order they came; 0 of none.
  std::uint64_t Digest() const { return digest_; }

  /// All objects have come once.
  bool IsComplete() const { return complete_; }
  std::int64_t Revision() const { return revision_; }
  std::size_t Size() const { return documents_.size(); }

 private:
  mirror_page MakeWholePage() const;
  bool IsApplicable(const mirror_page& page) const;
  void ApplyObject(const mirrored_object& object);
  std::vector<mirrored_object> ComputeChanges(const mirror_page& page) const;
  void RecordPage(const mirror_page& page);

  stored_kind kind_;
  bool complete_ = false;
  std::int64_t revision_ = 0;
  std::uint64_t digest_ = 0;
  std::map<std::string, std::string> documents_;  ///< By name.
  std::deque<mirror_page>
      recent_pages_;  ///< Each begins where the last one ends.
  std::size_t recent_objects_ = 0;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_COORDINATION_OBJECT_MIRROR_H_
