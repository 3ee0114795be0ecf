#ifndef PAPAYAGLADE_APP_UNANSWERED_LOG_H_
#define PAPAYAGLADE_APP_UNANSWERED_LOG_H_

#include <optional>
#include <string>

#include "app/owed_answer.h"
#include "coordination/metrics_sink.h"
#include "state/time.h"

namespace papayaglade {

/// A request of `serve` whose answer is not complete when the process ends.
struct unanswered_request {
  std::string request;
  std::string workload;
  monotonic_time read_at;
  std::optional<monotonic_time> stop_began;
  awaited waits_for = awaited::kCapacity;
};

/// Logs and counts `request`, which the end of the process leaves unanswered.
void LogUnanswered(const unanswered_request& request, monotonic_time now,
                   metrics_sink& metrics);

}  // namespace papayaglade

#endif  // PAPAYAGLADE_APP_UNANSWERED_LOG_H_
