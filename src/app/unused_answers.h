#ifndef PAPAYAGLADE_APP_UNUSED_ANSWERS_H_
#define PAPAYAGLADE_APP_UNUSED_ANSWERS_H_

#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "app/structured_log.h"
#include "state/store_position.h"
#include "state/stored_kind.h"

namespace papayaglade {

/// Why state that has arrived from the store, or from another instance, was not
/// used.
enum class unused_reason {
  kOlderEra,    ///< It is of an era before the known one.
  kOtherEra,    ///< It continues from a position of another era.
  kSuperseded,  ///< The state came from another source meanwhile.
  kBehind,      ///< The copy is at a later position.
  kGap,         ///< The copy lacks what came before.
  kUnreadable,  ///< It is malformed.
  kTooLarge,    ///< It exceeds what is read of one answer.
};

/// Returns the name of a reason in log lines and metrics.
const char* UnusedReasonName(unused_reason why);

/// Counts and logs the state that could not be used.
class unused_answers {
 public:
  /// The log must outlive this object.
  explicit unused_answers(structured_log& log) : log_(log) {}

  /// Notes that state up to `arrived` was not used by a copy at `copy`. Logs
  /// one line a second at most for each kind and reason.
  void Add(stored_kind kind, unused_reason why, const store_position& copy,
           const store_position& arrived);

  std::uint64_t Count(stored_kind kind, unused_reason why) const;
  /// Returns the counts in the text format of Prometheus.
  std::string Format() const;

 private:
  struct tally {
    std::uint64_t total = 0;
    std::uint64_t logged = 0;  ///< The total in the latest line.
    monotonic_time logged_at;
  };

  structured_log& log_;
  std::map<std::pair<stored_kind, unused_reason>, tally> tallies_;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_APP_UNUSED_ANSWERS_H_
