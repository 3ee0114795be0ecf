#include "coordination/store_era.h"

#include <utility>

namespace papayaglade {

era_relation store_era::Observe(std::int64_t era) {
  if (era == kNoEra || era == known_) return era_relation::kCurrent;
  if (era < known_) {
    ++older_;
    return era_relation::kOlder;
  }
  const std::int64_t before = std::exchange(known_, era);
  if (before != kNoEra) ++changes_;
  for (const change_handler& each : handlers_) each(before, known_);
  return era_relation::kNewer;
}

}  // namespace papayaglade
