#ifndef PAPAYAGLADE_COORDINATION_QUERY_HISTORY_H_
#define PAPAYAGLADE_COORDINATION_QUERY_HISTORY_H_

#include <chrono>
#include <cstddef>
#include <deque>
#include <string>

#include "state/caller_messages.h"

namespace papayaglade {

/// A finished request, as shown to operators on demand.
struct finished_request {
  account details;
  /// Wire name of the outcome, such as "answered".
  std::string outcome;
  std::string caller;
  /// The message is empty if the request was answered.
  error cause;
  std::chrono::microseconds latency{0};
  std::chrono::milliseconds deadline{0};
};

/// Keeps the last finished requests of one instance. Their number and the
/// number of their account lines are limited.
class query_history {
 public:
  void Add(finished_request request);
  /// Returns the newest request with that id, or null.
  const finished_request* Find(const std::string& request_id) const;
  std::size_t Size() const { return requests_.size(); }

 private:
  /// The kept requests, oldest first.
  std::deque<finished_request> requests_;
  /// Number of account lines of all kept requests.
  std::size_t lines_ = 0;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_COORDINATION_QUERY_HISTORY_H_
