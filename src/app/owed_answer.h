#ifndef PAPAYAGLADE_APP_OWED_ANSWER_H_
#define PAPAYAGLADE_APP_OWED_ANSWER_H_

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "app/structured_log.h"

namespace papayaglade {

/// What a request waits for before its answer is complete at the caller.
enum class awaited {
  kCapacity,  ///< No upstream has been asked, or none can be asked at present.
  kConnect,   ///< The connection to an upstream.
  kAnswer,    ///< An upstream's answer.
  kWrite,     ///< The caller, which has not read the whole answer.
};

/// Returns the name of `awaited` for logs, such as "answer".
const char* AwaitedName(awaited awaited);

/// A request that was read whole and whose answer is not complete.
struct owed_answer {
  std::string request;
  std::string route;
  /// Time since the request was read.
  std::chrono::milliseconds age{0};
  /// Time since the instance was told to stop; empty if it was not.
  std::optional<std::chrono::milliseconds> stopping;
  awaited waits_for = awaited::kCapacity;
  /// The open legs as "service/upstream", or "service/-" without an upstream.
  std::vector<std::string> open_legs;
};

/// Returns the log line that tells of `owed`. `by` names who ended the request;
/// it is empty while the request is in progress. `now` is the time of day.
log_line OwedAnswerLine(std::string_view event, const owed_answer& owed,
                        std::string_view by,
                        std::chrono::system_clock::time_point now);

}  // namespace papayaglade

#endif  // PAPAYAGLADE_APP_OWED_ANSWER_H_
