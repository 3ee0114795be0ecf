#include "state/entry_messages.h"

namespace papayaglade {

const char* AttemptEndName(attempt_end end) {
  switch (end) {
    case attempt_end::kAnswered:
      return "answered";
    case attempt_end::kFailedAnswer:
      return "failed_answer";
    case attempt_end::kNotRun:
      return "not_run";
    case attempt_end::kOtherUpstream:
      return "other_upstream";
    case attempt_end::kNotSent:
      return "not_sent";
    case attempt_end::kBroken:
      return "broken";
  }
  return "unknown";
}

const char* RefusalName(refusal cause) {
  switch (cause) {
    case refusal::kNoConfiguration:
      return "no_configuration";
    case refusal::kNoRoute:
      return "no_route";
    case refusal::kMalformed:
      return "malformed";
    case refusal::kTooLarge:
      return "too_large";
    case refusal::kNoUpstream:
      return "no_upstream";
    case refusal::kAllRefused:
      return "all_refused";
    case refusal::kFailed:
      return "failed";
    case refusal::kTimedOut:
      return "timed_out";
    case refusal::kExpired:
      return "expired";
    case refusal::kUnread:
      return "unread";
    case refusal::kNoMemory:
      return "no_memory";
    case refusal::kStopping:
      return "stopping";
    case refusal::kStopped:
      return "stopped";
  }
  return "unknown";
}

bool IsProvenNotRun(refusal cause) {
  return cause != refusal::kFailed && cause != refusal::kTimedOut &&
         cause != refusal::kStopped;
}

}  // namespace papayaglade
