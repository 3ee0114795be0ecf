#ifndef PAPAYAGLADE_APP_READINESS_H_
#define PAPAYAGLADE_APP_READINESS_H_

#include <functional>
#include <mutex>
#include <string>
#include <utility>

#include "coordination/ports.h"

namespace papayaglade {

/// Holds the latest readiness state, set by the control worker and read by the
/// callers' and operators' ports. Thread-safe.
class readiness : public readiness_port {
 public:
  /// Sets the function that SetConfigured calls; set it before the workers
  /// start.
  void SetOnConfigured(std::function<void()> on_configured) {
    on_configured_ = std::move(on_configured);
  }

  void SetReady(bool ready, const std::string& reason) override;
  void SetConfigured() override;

  /// Makes the instance not ready for good; later calls of SetReady have no
  /// effect.
  void BeginShutdown();

  /// Returns why the instance is not ready, or an empty string if it is ready.
  std::string ReasonNotReady() const;

 private:
  mutable std::mutex mutex_;
  std::string reason_ = "starting";
  bool shutting_down_ = false;
  std::function<void()> on_configured_;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_APP_READINESS_H_
