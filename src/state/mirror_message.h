#ifndef PAPAYAGLADE_STATE_MIRROR_MESSAGE_H_
#define PAPAYAGLADE_STATE_MIRROR_MESSAGE_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "state/identity.h"
#include "state/store_position.h"
#include "state/stored_kind.h"

namespace papayaglade {

/// An object of the store, or its deletion, as one instance sends it to
/// another.
struct mirrored_object {
  std::string name;
  bool deleted = false;
  std::string document;  ///< Content of the object in CBOR; empty if deleted.
};

/// What the objects of a page represent.
enum class page_content {
  kChanges,     ///< All changes after `from`, up to and including `to`.
  kWhole,       ///< All objects as of `to`; replaces the copy.
  kDifference,  ///< Changes from the copy with digest `base` to `to`.
};

/// New states of the objects of one kind.
struct mirror_page {
  stored_kind kind = stored_kind::kConfiguration;
  page_content content = page_content::kChanges;
  store_position from;     ///< Exclusive; in the era of `to`.
  store_position to;       ///< Inclusive.
  std::uint64_t base = 0;  ///< Digest of the copy that kDifference applies to.
  /// The objects, in the order of their changes.
  std::vector<mirrored_object> objects;
  /// How long ago the sender's copy, as it was before these changes, was known
  /// to be that of the store; empty if unknown. The changes are no older.
  std::optional<std::chrono::milliseconds> confirmed_age;
};

/// The position up to which an instance has the objects of one kind, and the
/// digest of its copy.
struct mirror_position {
  stored_kind kind = stored_kind::kConfiguration;
  store_position at;
  std::uint64_t digest = 0;
};

inline bool operator==(const mirror_position& a, const mirror_position& b) {
  return a.kind == b.kind && a.at == b.at && a.digest == b.digest;
}

/// One instance as listed in the store.
struct fleet_member {
  std::string name;
  std::string data_centre;
  /// Control address for other instances; port 0 if unknown.
  endpoint control;
  double cores = 0;  ///< CPU cores available to it; 0 if unknown.
};

inline bool operator==(const fleet_member& a, const fleet_member& b) {
  return a.name == b.name && a.data_centre == b.data_centre &&
         a.control == b.control && a.cores == b.cores;
}

/// The way in which a source, an instance that others follow, gets its state.
enum class source_state {
  kFollowing,  ///< The instance gets its objects from another instance.
  kWatching,   ///< The instance reads from the store, which answers.
  kLost,       ///< The instance reads from the store, which does not answer.
};

/// Subscribes to all changes after these positions.
struct mirror_subscription {
  std::string instance;  ///< Name of the subscriber.
  std::vector<mirror_position> positions;
  /// The latest era of the store that the subscriber knows; the positions may
  /// be of earlier ones.
  std::int64_t era = kNoEra;
};

/// Sent periodically. All pages up to these positions have been sent.
struct source_report {
  source_state state = source_state::kFollowing;
  std::vector<mirror_position> positions;
  /// How long ago the copy of the upstreams was known to be that of the store;
  /// empty if unknown.
  std::optional<std::chrono::milliseconds> upstreams_confirmed_age;
  /// The store has been found unavailable since then.
  bool store_unavailable = false;
  /// The latest era of the store that the sender knows; the positions may be of
  /// earlier ones.
  std::int64_t era = kNoEra;
};

/// All instances that the sender knows.
struct fleet_report {
  std::vector<fleet_member> members;
};

/// Any message between a source and an instance that follows it.
using mirror_message =
    std::variant<mirror_subscription, mirror_page, source_report, fleet_report>;

}  // namespace papayaglade

#endif  // PAPAYAGLADE_STATE_MIRROR_MESSAGE_H_
