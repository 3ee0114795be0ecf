#include "transport/connection_end.h"

namespace papayaglade {

const char* ConnectionEndName(connection_end end) {
  switch (end) {
    case connection_end::kCallerClosed:
      return "caller_closed";
    case connection_end::kCallerReset:
      return "caller_reset";
    case connection_end::kTimeout:
      return "timeout";
    case connection_end::kUnread:
      return "unread";
    case connection_end::kInstance:
      return "instance";
    case connection_end::kStopping:
      return "stopping";
  }
  return "unknown";
}

bool IsEndedByCaller(connection_end end) {
  return end == connection_end::kCallerClosed ||
         end == connection_end::kCallerReset;
}

}  // namespace papayaglade
