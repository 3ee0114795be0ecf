#include "app/readiness.h"

namespace papayaglade {

void readiness::SetReady(bool ready, const std::string& reason) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (shutting_down_) return;
  reason_ = ready ? "" : reason;
}

void readiness::SetConfigured() {
  if (on_configured_) on_configured_();
}

void readiness::BeginShutdown() {
  const std::lock_guard<std::mutex> lock(mutex_);
  shutting_down_ = true;
  reason_ = "shutting down";
}

std::string readiness::ReasonNotReady() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return reason_;
}

}  // namespace papayaglade
