#include "state/error.h"

namespace papayaglade {

const char* ErrorKindName(error_kind kind) {
  switch (kind) {
    case error_kind::kInvalidInput:
      return "invalid_input";
    case error_kind::kTooLarge:
      return "too_large";
    case error_kind::kUnknownName:
      return "unknown_name";
    case error_kind::kNotRun:
      return "not_run";
    case error_kind::kOutcomeUnknown:
      return "outcome_unknown";
    case error_kind::kOverloaded:
      return "overloaded";
    case error_kind::kUnavailable:
      return "unavailable";
    case error_kind::kConflict:
      return "conflict";
    case error_kind::kDeadline:
      return "deadline";
    case error_kind::kBelowCoverage:
      return "below_coverage";
  }
  return "unknown";
}

}  // namespace papayaglade
