#ifndef PAPAYAGLADE_STATE_MIRROR_MESSAGE_H_
#define PAPAYAGLADE_STATE_MIRROR_MESSAGE_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "state/identity.h"
#include "state/stored_kind.h"

namespace papayaglade {

/// An object of the store as one instance passes it on to another, or that it
/// is gone.
struct mirrored_object {
  std::string name;
  bool deleted = false;
  std::string document;  ///< Its content, in CBOR.
};

/// What the objects of a page are.
enum class page_content {
  kChanges,     ///< All changes after `from`, up to `to`.
  kWhole,       ///< All objects as of `to`, whatever was known before.
  kDifference,  ///< What makes the copy of digest `base` that as of `to`.
};

/// What became of the objects of one kind.
struct mirror_page {
  stored_kind kind = stored_kind::kConfiguration;
  page_content content = page_content::kChanges;
  std::int64_t from = 0;   ///< Exclusive; a revision of the store.
  std::int64_t to = 0;     ///< A revision of the store.
  std::uint64_t base = 0;  ///< Digest of a copy.
  std::vector<mirrored_object> objects;  ///< In the order of their changes.
};

/// Up to which revision an instance knows the objects of one kind, and the
/// digest of its copy.
struct mirror_position {
  stored_kind kind = stored_kind::kConfiguration;
  std::int64_t revision = 0;
  std::uint64_t digest = 0;
};

/// One instance as the store lists it.
struct fleet_member {
  std::string name;
  std::string data_centre;
  endpoint control;  ///< Other instances call here; port 0: not known.
  double cores = 0;  ///< Its share of processors; 0: not known.
};

/// How an instance that others follow gets its state.
enum class source_state {
  kFollowing,  ///< From another instance.
  kWatching,   ///< From the store, which answers.
  kLost,       ///< It would watch the store, but the store does not answer.
};

/// Asks for all that is newer than these positions, now and from now on.
struct mirror_subscription {
  std::string instance;  ///< Who asks.
  std::vector<mirror_position> positions;
};

/// Sent now and then: all pages up to these positions have been sent.
struct source_report {
  source_state state = source_state::kFollowing;
  std::vector<mirror_position> positions;
};

/// All instances that the sender knows.
struct fleet_report {
  std::vector<fleet_member> members;
};

/// What an entry instance and one that follows it say to each other.
using mirror_message =
    std::variant<mirror_subscription, mirror_page, source_report, fleet_report>;

}  // namespace papayaglade

#endif  // PAPAYAGLADE_STATE_MIRROR_MESSAGE_H_
