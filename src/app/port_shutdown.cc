#include "app/port_shutdown.h"

namespace papayaglade {

bool port_shutdown::Advance(monotonic_time now) {
  const bool unused =
      now >= plan_.BalancerNoticed() && port_.ConnectionCount() == 0;
  // What closing the port accepts is read before it can be idle.
  if (now >= plan_.CloseIdle() && !port_.IsListening())
    port_.CloseIdleConnections();
  if (unused || now >= plan_.ClosePort()) port_.StopAccepting();
  return (unused && port_.ConnectionCount() == 0) || now >= plan_.ForcedEnd();
}

}  // namespace papayaglade
