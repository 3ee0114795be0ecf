#include "coordination/memory_budget.h"

namespace papayaglade {

bool memory_budget::reservation::Resize(std::size_t bytes) {
  const std::size_t others = budget_.reserved_ - bytes_;
  const bool grows = bytes > bytes_;
  if (grows && (others > budget_.limit_ || bytes > budget_.limit_ - others)) {
    return false;
  }
  bytes_ = bytes;
  budget_.reserved_ = others + bytes;
  return true;
}

}  // namespace papayaglade
