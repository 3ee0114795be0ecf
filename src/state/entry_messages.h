#ifndef PAPAYAGLADE_STATE_ENTRY_MESSAGES_H_
#define PAPAYAGLADE_STATE_ENTRY_MESSAGES_H_

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace papayaglade {

/// A caller's request, to be passed on as it came.
struct entry_request {
  std::string id;  ///< Of this attempt of the caller; unique.
  std::string method;
  std::string target;
  std::string host;
  /// Request line and end-to-end headers for an upstream, without the end.
  std::string upstream_head;
  std::string body;
  std::optional<std::chrono::milliseconds> time_left;  ///< As the caller says.
  bool keep_alive = true;
};

/// How an attempt at an upstream ended.
enum class attempt_end {
  kAnswered,       ///< A whole, sound answer that the caller may have.
  kFailedAnswer,   ///< The upstream ran the request and answered a failure.
  kNotRun,         ///< The upstream says that it did not run the request.
  kOtherUpstream,  ///< Its address belongs to another one; not run.
  kNotSent,        ///< No connection: no byte has left.
  kBroken,         ///< No sound answer; the request may have run.
};

/// The name of an end in logs and metrics.
const char* AttemptEndName(attempt_end end);

/// An upstream's answer.
struct upstream_response {
  int status = 0;
  std::string reason;
  std::string headers;  ///< End-to-end header lines, each with its line end.
  std::string body;
  std::string signature;  ///< The upstream's signature of this answer.
};

struct attempt_result {
  attempt_end end = attempt_end::kBroken;
  upstream_response reply;  ///< Of kAnswered and kFailedAnswer.
  const char* why = "";     ///< For logs.
};

/// The caller gets the upstream's own answer.
struct relayed_answer {
  upstream_response reply;
};

/// The caller gets the merged records of the shards that answered.
struct merged_answer {
  std::vector<std::string> signatures;
  std::size_t missing = 0;
  std::string records;
};

/// Why a request got no answer of an upstream.
enum class refusal {
  kNoConfiguration,  ///< This instance knows none yet.
  kNoRoute,          ///< No route matches.
  kMalformed,        ///< Not a request that can be passed on.
  kTooLarge,         ///< Over the size that operators allow.
  kNoUpstream,       ///< Too few upstreams can be asked.
  kAllRefused,       ///< Every upstream asked says it did not run it.
  kFailed,           ///< It may have run; no sound answer came.
  kTimedOut,         ///< It may have run; the time has passed.
  kExpired,          ///< The time had passed before it was sent.
};

const char* RefusalName(refusal cause);

/// Whether it is certain that the request has not run and never will.
bool IsProvenNotRun(refusal cause);

/// The caller gets an error of this instance.
struct refused_answer {
  refusal cause = refusal::kFailed;
  std::optional<std::chrono::milliseconds> retry_after;
};

using entry_answer =
    std::variant<relayed_answer, merged_answer, refused_answer>;

}  // namespace papayaglade

#endif  // PAPAYAGLADE_STATE_ENTRY_MESSAGES_H_
