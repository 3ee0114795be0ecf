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

/// A copy of the store's objects of one kind, with their recent changes. Its
/// revision never decreases, whichever source a page comes from.
class object_mirror {
 public:
  explicit object_mirror(stored_kind kind) : kind_(kind) {}

  /// Applies a page that reaches beyond the known revision and returns the
  /// changes to this copy, each object once. Returns nothing for a page that
  /// does not apply: changes after a gap, or a difference to another copy.
  std::optional<std::vector<mirrored_object>> Apply(const mirror_page& page);

  /// Moves on to `position`, the one of another copy, if this copy has the same
  /// objects. Returns false if it lacks changes up to that position.
  bool AdvanceTo(const mirror_position& position);

  /// Returns what a copy at `position` lacks, or nothing if it lacks nothing.
  std::optional<mirror_page> PageSince(const mirror_position& position) const;

  /// Returns the page for copies that equal this one before `changes`; `base`
  /// is the value of Digest at that time.
  mirror_page MakeDifference(std::uint64_t base,
                             std::vector<mirrored_object> changes) const;

  mirror_position Position() const;
  /// Returns a hash of all objects that does not depend on their order; 0 if
  /// there are none.
  std::uint64_t Digest() const { return digest_; }

  /// Returns whether a whole page was applied.
  bool IsComplete() const { return complete_; }
  std::int64_t Revision() const { return revision_; }
  std::size_t Size() const { return documents_.size(); }

 private:
  mirror_page MakeWholePage() const;
  /// Returns whether the page starts from what this copy holds.
  bool IsApplicable(const mirror_page& page) const;
  void ApplyObject(const mirrored_object& object);
  /// Returns the changes that the page makes to this copy, each object once.
  std::vector<mirrored_object> ComputeChanges(const mirror_page& page) const;
  /// Keeps a page of changes for PageSince and discards the oldest pages.
  void RecordPage(const mirror_page& page);

  stored_kind kind_;
  bool complete_ = false;
  std::int64_t revision_ = 0;
  std::uint64_t digest_ = 0;
  /// The documents, keyed by object name.
  std::map<std::string, std::string> documents_;
  /// Recent changes; each page begins at the revision where the one before it
  /// ends.
  std::deque<mirror_page> recent_pages_;
  std::size_t recent_objects_ = 0;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_COORDINATION_OBJECT_MIRROR_H_
