#ifndef PAPAYAGLADE_APP_COPY_CONFIRMATIONS_H_
#define PAPAYAGLADE_APP_COPY_CONFIRMATIONS_H_

#include <array>
#include <chrono>
#include <optional>

#include "app/structured_log.h"
#include "state/change_delays.h"
#include "state/copy_status.h"
#include "state/stored_kind.h"

namespace papayaglade {

/// When the copy of each kind of the store's objects was last known to be that
/// of the store, or of the watching instance that this one follows.
class copy_confirmations {
 public:
  /// The log must outlive this object. `delays` are what changes of each kind
  /// may take: a copy that was not confirmed for longer is overdue.
  copy_confirmations(structured_log& log, const change_delays& delays)
      : log_(log), delays_(delays) {}

  /// Notes that the copy of a kind was confirmed as of `time`. Returns false if
  /// a later time is known.
  bool Confirm(stored_kind kind, monotonic_time time);
  /// Returns how long ago that was; empty if it never was.
  std::optional<std::chrono::milliseconds> Age(stored_kind kind) const;
  /// Logs when the confirmation of a kind has become overdue, and when it is no
  /// longer. `status` is what is known of its copy, `answering` whether the
  /// store or a source answers.
  void Check(stored_kind kind, const copy_status& status, bool answering);

 private:
  struct confirmation {
    std::optional<monotonic_time> at;
    bool overdue = false;
  };

  structured_log& log_;
  change_delays delays_;
  std::array<confirmation, kMirroredKinds.size()> kinds_;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_APP_COPY_CONFIRMATIONS_H_
