#ifndef PAPAYAGLADE_APP_MIRROR_LOG_LINES_H_
#define PAPAYAGLADE_APP_MIRROR_LOG_LINES_H_

#include <chrono>
#include <cstddef>
#include <vector>

#include "app/structured_log.h"
#include "state/mirror_message.h"

namespace papayaglade {

/// Returns the line on the copy of one kind that has come from the position
/// `before` in an earlier era to `now` by these changes, `elapsed` after the
/// era was noticed.
log_line EraReadLine(stored_kind kind, const store_position& before,
                     const store_position& now,
                     const std::vector<mirrored_object>& changes,
                     std::chrono::milliseconds elapsed);

/// Returns the line on the copy of one kind that the store has taken back from
/// the position `before` to `now` by these changes, without a new era.
log_line WentBackLine(stored_kind kind, const store_position& before,
                      const store_position& now,
                      const std::vector<mirrored_object>& changes);

/// Returns the line on a changed state that is reported to followers.
log_line MirrorStateLine(source_state state, source_state before,
                         std::size_t followers);

}  // namespace papayaglade

#endif  // PAPAYAGLADE_APP_MIRROR_LOG_LINES_H_
