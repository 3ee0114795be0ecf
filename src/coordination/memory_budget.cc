#include "coordination/memory_budget.h"

namespace papayaglade {

bool memory_budget::reservation::Resize(std::size_t bytes) {
  const std::size_t limit = budget_->limit_;
  const std::size_t others = budget_->reserved_ - bytes_;
  if (bytes > bytes_ && (others > limit || bytes > limit - others)) {
    return false;
  }
  bytes_ = bytes;
  budget_->reserved_ = others + bytes;
  return true;
}

}  // namespace papayaglade
