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

/// How a page of the store relates to a copy.
enum class page_relation {
  kNewer,       ///< It continues from the copy, or holds all objects, later on.
  kHeld,        ///< It reaches no further and says what the copy holds.
  kOvertaken,   ///< The copy is past it and past the position it starts from.
  kUnconnected  ///< It starts after the copy, or contradicts it.
};

/// A copy of the store's objects of one kind, which knows what has changed
/// recently. It keeps the latest state of an object only. Its position goes
/// back only if the store lists an earlier state twice in a row. In a new era
/// of the store it starts with all objects, and knows no changes before.
class object_mirror {
 public:
  explicit object_mirror(stored_kind kind) : kind_(kind) {}

  page_relation RelationOf(const mirror_page& page) const;

  /// Applies a page that reaches beyond the known revision and returns the
  /// changes to this copy, each object once. Returns nothing for a page that
  /// does not apply: changes after a gap, or a difference to another copy.
  std::optional<std::vector<mirrored_object>> Apply(const mirror_page& page);

  /// Does so with a page of the store. A whole page that contradicts this copy
  /// is applied if the one before did so as well.
  std::optional<std::vector<mirrored_object>> ApplyFromStore(
      const mirror_page& page);

  /// Returns whether `position` is this copy's, but that of another content.
  bool Contradicts(const mirror_position& position) const;

  /// Moves on to `position`, the one of another copy, if this copy has the same
  /// objects. Returns false if it lacks changes up to that position.
  bool AdvanceTo(const mirror_position& position);

  /// Returns what a copy at `position` lacks, each object once in its latest
  /// state, or nothing if it lacks nothing.
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
  const store_position& At() const { return at_; }
  std::size_t Size() const { return objects_.size(); }
  /// Returns the bytes of all names and documents.
  std::size_t Bytes() const { return bytes_; }

 private:
  struct object_state {
    std::string document;
    /// Revision at which the document is known to be the latest one.
    std::int64_t changed_at = 0;
  };
  struct deletion {
    std::string name;
    std::int64_t revision = 0;
  };
  /// This copy never was at the revisions between these.
  struct skipped_range {
    std::int64_t from = 0;
    std::int64_t to = 0;
  };

  mirror_page MakeWholePage() const;
  /// Moves to the position of a page and returns the changes to this copy.
  std::vector<mirrored_object> TakeOver(const mirror_page& page);
  /// Returns whether the page starts from what this copy holds.
  bool IsApplicable(const mirror_page& page) const;
  void ApplyObject(const mirrored_object& object, std::int64_t revision);
  /// Returns the changes that the page makes to this copy, each object once.
  std::vector<mirrored_object> ComputeChanges(const mirror_page& page) const;
  /// Notes when the objects of a page changed, for PageSince.
  void RecordPage(const mirror_page& page);
  void RecordDeletion(const std::string& name, std::int64_t revision);
  /// Notes that this copy has moved on from `from` to its position without the
  /// changes between them.
  void RecordSkipped(const store_position& from);
  /// Returns whether all changes after `position` are known.
  bool KnowsChangesSince(const store_position& position) const;
  /// Forgets what changed before `revision`.
  void ForgetChangesBefore(std::int64_t revision);
  /// Moves to `position`. Forgets all changes unless it is a later one of the
  /// era.
  void MoveTo(const store_position& position);

  stored_kind kind_;
  bool complete_ = false;
  store_position at_;
  /// The position at which the last page of the store contradicted this copy.
  std::optional<store_position> doubted_at_;
  std::uint64_t digest_ = 0;
  std::size_t bytes_ = 0;
  /// The objects, keyed by name.
  std::map<std::string, object_state> objects_;
  /// Deletions after `changes_known_from_`, oldest first, each object once. It
  /// may have been created again since.
  std::deque<deletion> deletions_;
  /// All changes of the era after this revision are known, except in these
  /// ranges.
  std::int64_t changes_known_from_ = 0;
  std::deque<skipped_range> skipped_;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_COORDINATION_OBJECT_MIRROR_H_
