#include "state/claim.h"

namespace papayaglade {

const char* ClaimPhaseName(claim_phase phase) {
  switch (phase) {
    case claim_phase::kClaimed:
      return "claimed";
    case claim_phase::kSent:
      return "sent";
    case claim_phase::kDone:
      return "done";
    case claim_phase::kReleased:
      return "released";
  }
  return "unknown";
}

}  // namespace papayaglade
