#ifndef PAPAYAGLADE_COORDINATION_QUERY_HISTORY_H_
#define PAPAYAGLADE_COORDINATION_QUERY_HISTORY_H_

#include <chrono>
#include <cstddef>
#include <deque>
#include <string>

#include "state/caller_messages.h"

namespace papayaglade {

/// One finished request as operators may ask for it.
struct finished_request {
  account details;
  std::string outcome;  ///< Wire name, such as "answered".
  std::string caller;
  error cause;  ///< Empty message when answered.
  std::chrono::microseconds latency{0};
  std::chrono::milliseconds deadline{0};
};

/// The last finished requests of one instance, bounded by their account lines.
class query_history {
 public:
  void Add(finished_request request);
  /// The newest request of that id, or null.
  const finished_request* Find(const std::string& request_id) const;
  std::size_t Size() const { return requests_.size(); }

 private:
  std::deque<finished_request> requests_;  ///< Oldest first.
  std::size_t lines_ = 0;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_COORDINATION_QUERY_HISTORY_H_
