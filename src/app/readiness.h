#ifndef PAPAYAGLADE_APP_READINESS_H_
#define PAPAYAGLADE_APP_READINESS_H_

#include <mutex>
#include <string>

#include "coordination/ports.h"

namespace papayaglade {

/// Holds the control duty's last word on readiness for the callers' port.
class readiness : public readiness_port {
 public:
  void SetReady(bool ready, const std::string& reason) override;

  /// From now on the instance is not ready, whatever SetReady says.
  void BeginShutdown();

  /// Empty when the instance is ready; else why it is not.
  std::string ReasonNotReady() const;

 private:
  mutable std::mutex mutex_;
  std::string reason_ = "starting";
  bool shutting_down_ = false;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_APP_READINESS_H_
