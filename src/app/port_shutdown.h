#ifndef PAPAYAGLADE_APP_PORT_SHUTDOWN_H_
#define PAPAYAGLADE_APP_PORT_SHUTDOWN_H_

#include "coordination/shutdown_plan.h"
#include "transport/caller_port.h"

namespace papayaglade {

/// Closes the callers' port and its idle connections as a shutdown proceeds.
class port_shutdown {
 public:
  /// `port` must outlive the object.
  port_shutdown(const shutdown_plan& plan, caller_port& port)
      : plan_(plan), port_(port) {}

  /// Does what is due at `now`. Returns true once the process may end: nothing
  /// is owed to a caller, or the time is up. Between two calls, the event loop
  /// reads from each open connection.
  bool Advance(monotonic_time now);

 private:
  shutdown_plan plan_;
  caller_port& port_;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_APP_PORT_SHUTDOWN_H_
