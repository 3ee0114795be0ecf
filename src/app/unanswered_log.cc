#include "app/unanswered_log.h"

#include <glog/logging.h>

#include <chrono>

namespace papayaglade {

namespace {

using std::chrono::milliseconds;

constexpr char kBy[] = "stopping";

}  // namespace

void LogUnanswered(const unanswered_request& request, monotonic_time now,
                   metrics_sink& metrics) {
  owed_answer owed;
  owed.request = request.request;
  owed.route = request.workload;
  owed.age = std::chrono::duration_cast<milliseconds>(now - request.read_at);
  if (request.stop_began.has_value()) {
    owed.stopping =
        std::chrono::duration_cast<milliseconds>(now - *request.stop_began);
  }
  owed.waits_for = request.waits_for;
  metrics.Add(counter_metric::kUnanswered, kBy, 1);
  LOG(ERROR) << OwedAnswerLine("unanswered", owed, kBy,
                               std::chrono::system_clock::now())
                    .Text();
}

}  // namespace papayaglade
