#include "app/copy_confirmations.h"

#include <utility>

#include "coordination/watch_wait.h"
#include "protocol/store_format.h"

namespace papayaglade {

using std::chrono::milliseconds;

bool copy_confirmations::Confirm(stored_kind kind, monotonic_time time) {
  std::optional<monotonic_time>& known =
      kinds_.at(static_cast<std::size_t>(kind)).at;
  if (known >= time) return false;
  known = time;
  return true;
}

std::optional<milliseconds> copy_confirmations::Age(stored_kind kind) const {
  return AgeOf(kinds_.at(static_cast<std::size_t>(kind)).at,
               loop_context::Now());
}

void copy_confirmations::Check(stored_kind kind, const copy_status& status,
                               bool answering) {
  confirmation& own = kinds_.at(static_cast<std::size_t>(kind));
  if (!own.at.has_value()) return;
  const milliseconds age = Age(kind).value_or(milliseconds(0));
  const bool overdue = age > AllowedDelay(kind, delays_);
  if (std::exchange(own.overdue, overdue) == overdue) return;
  log_.Write(structured_log::kind::kEvent,
             log_line(overdue ? "copy_overdue" : "copy_confirmed")
                 .With("kind", StoredKindName(kind))
                 .With("era", status.at.era)
                 .With("revision", status.at.revision)
                 .With("from", status.source.empty() ? "store" : status.source)
                 .With("age_ms", age.count())
                 .With("answering", answering ? 1 : 0));
}

}  // namespace papayaglade
