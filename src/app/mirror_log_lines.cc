#include "app/mirror_log_lines.h"

#include <algorithm>
#include <cstdint>

#include "protocol/store_format.h"

namespace papayaglade {

namespace {

const char* SourceStateName(source_state state) {
  switch (state) {
    case source_state::kFollowing:
      return "following";
    case source_state::kWatching:
      return "watching";
    case source_state::kLost:
      return "store_lost";
  }
  return "unknown";
}

}  // namespace

log_line EraReadLine(stored_kind kind, const store_position& before,
                     const store_position& now,
                     const std::vector<mirrored_object>& changes,
                     std::chrono::milliseconds elapsed) {
  const std::int64_t missing =
      std::count_if(changes.begin(), changes.end(),
                    [](const mirrored_object& each) { return each.deleted; });
  return log_line("store_era_read")
      .With("kind", StoredKindName(kind))
      .With("era", now.era)
      .With("revision", now.revision)
      .With("era_before", before.era)
      .With("revision_before", before.revision)
      .With("missing", missing)
      .With("changed", static_cast<std::int64_t>(changes.size()) - missing)
      .With("ms", elapsed.count());
}

log_line WentBackLine(stored_kind kind, const store_position& before,
                      const store_position& now,
                      const std::vector<mirrored_object>& changes) {
  return log_line("store_went_back")
      .With("kind", StoredKindName(kind))
      .With("era", now.era)
      .With("revision", now.revision)
      .With("revision_before", before.revision)
      .With("changed", static_cast<std::int64_t>(changes.size()));
}

log_line MirrorStateLine(source_state state, source_state before,
                         std::size_t followers) {
  return log_line("mirror_state")
      .With("state", SourceStateName(state))
      .With("before", SourceStateName(before))
      .With("followers", static_cast<std::int64_t>(followers));
}

}  // namespace papayaglade
