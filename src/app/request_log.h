#ifndef PAPAYAGLADE_APP_REQUEST_LOG_H_
#define PAPAYAGLADE_APP_REQUEST_LOG_H_

#include <chrono>
#include <string>

#include "coordination/metrics_sink.h"
#include "coordination/query_account.h"
#include "coordination/query_history.h"
#include "state/caller_messages.h"
#include "state/error.h"

namespace papayaglade {

/// Records finished requests in the metrics and in the history that `explain`
/// reads.
class request_log {
 public:
  explicit request_log(metrics_sink& metrics) : metrics_(metrics) {}

  void RecordFinished(const caller_request& request,
                      const caller_outcome& outcome,
                      const attempt_counts& counts, request_class priority,
                      std::chrono::microseconds latency);
  void RecordRefused(const caller_request& request, const error& cause,
                     std::chrono::microseconds latency);
  void SetOpenCount(std::size_t open);

  /// Returns the record of a request as JSON text, or an empty string if the
  /// request is not among those kept.
  std::string Explain(const std::string& request_id) const;
  std::size_t KeptCount() const { return history_.Size(); }

 private:
  void CountAttempts(const caller_request& request, const account& details,
                     const attempt_counts& counts);

  metrics_sink& metrics_;
  query_history history_;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_APP_REQUEST_LOG_H_
