#include "state/upstream_messages.h"

namespace papayaglade {

const char* StewardPhaseName(steward_phase phase) {
  switch (phase) {
    case steward_phase::kUnknown:
      return "unknown";
    case steward_phase::kCold:
      return "cold";
    case steward_phase::kWarming:
      return "warming";
    case steward_phase::kWarm:
      return "warm";
    case steward_phase::kLeaving:
      return "leaving";
    case steward_phase::kSilent:
      return "silent";
    case steward_phase::kLost:
      return "lost";
  }
  return "unknown";
}

}  // namespace papayaglade
