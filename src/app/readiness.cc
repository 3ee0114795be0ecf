#include "app/readiness.h"

namespace papayaglade {

void readiness::SetReady(bool ready, const std::string& reason) {
  const std::lock_guard<std::mutex> lock(mutex_);
  reason_ = ready ? "" : reason;
}

std::string readiness::ReasonNotReady() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return reason_;
}

}  // namespace papayaglade
