#ifndef PAPAYAGLADE_APP_PLATFORM_SESSION_H_
#define PAPAYAGLADE_APP_PLATFORM_SESSION_H_

#include "coordination/blocking_platform.h"
#include "state/identity.h"

namespace papayaglade {

/// Makes blocking calls to the platform over HTTP.
class platform_session : public blocking_platform {
 public:
  explicit platform_session(const endpoint& platform);

  platform_reply Call(const platform_operation& operation) override;
  void Pause(std::chrono::milliseconds length) override;

 private:
  endpoint platform_;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_APP_PLATFORM_SESSION_H_
