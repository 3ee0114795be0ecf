#ifndef PAPAYAGLADE_COORDINATION_STORE_ERA_H_
#define PAPAYAGLADE_COORDINATION_STORE_ERA_H_

#include <cstdint>
#include <functional>
#include <utility>
#include <vector>

#include "state/store_position.h"

namespace papayaglade {

/// How the era of an answer relates to the known one.
enum class era_relation {
  kCurrent,  ///< The same, or the answer names none.
  kNewer,    ///< The known era was the one before; it is the answer's now.
  kOlder,    ///< The answer was given before the store was restored.
};

/// The latest era of the store that this instance knows, from any answer of the
/// store and from the state that other instances hand on.
class store_era {
 public:
  /// Receives the era before, kNoEra if none was known, and the new one.
  using change_handler =
      std::function<void(std::int64_t before, std::int64_t era)>;

  /// Calls `handler` at each change, after the handlers that were added before.
  void Subscribe(change_handler handler) {
    handlers_.push_back(std::move(handler));
  }

  /// Compares the era of an answer, or kNoEra, with the known one and takes
  /// over a newer one.
  era_relation Observe(std::int64_t era);

  /// Returns the known era, or kNoEra before the first.
  std::int64_t Known() const { return known_; }
  /// Returns how often the store was found restored.
  std::uint64_t ChangeCount() const { return changes_; }
  /// Returns the number of answers that were of an older era.
  std::uint64_t OlderCount() const { return older_; }

 private:
  std::int64_t known_ = kNoEra;
  std::uint64_t changes_ = 0;
  std::uint64_t older_ = 0;
  std::vector<change_handler> handlers_;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_COORDINATION_STORE_ERA_H_
