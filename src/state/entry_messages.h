#ifndef PAPAYAGLADE_STATE_ENTRY_MESSAGES_H_
#define PAPAYAGLADE_STATE_ENTRY_MESSAGES_H_

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace papayaglade {

/// A caller's request, to be forwarded unchanged.
struct entry_request {
  std::string id;  ///< Unique id of this attempt of the caller.
  std::string method;
  std::string target;
  std::string host;
  /// Request line and end-to-end headers for an upstream, without the empty
  /// line that ends the header.
  std::string upstream_head;
  std::string body;
  /// Time until the caller's deadline, as sent by the caller.
  std::optional<std::chrono::milliseconds> time_left;
  bool keep_alive = true;
};

/// The outcome of an attempt at an upstream.
enum class attempt_end {
  kAnswered,       ///< A complete, valid answer to return to the caller.
  kFailedAnswer,   ///< The upstream ran the request and reported a failure.
  kNotRun,         ///< The upstream reports that it did not run the request.
  kOtherUpstream,  ///< Another upstream has this address; not run.
  kNotSent,        ///< There was no connection; no byte was sent.
  kBroken,         ///< No valid answer; the request may have run.
};

/// Returns the name of `end` for logs and metrics, such as "answered".
const char* AttemptEndName(attempt_end end);

/// What an upstream says about itself in an answer.
struct upstream_notice {
  /// The process shuts down; it never takes this back.
  bool leaving = false;
  /// The time for which it wants no request from this instance; empty unless it
  /// turned a request away and named one.
  std::optional<std::chrono::milliseconds> retry_after;
  /// It named such a time, but in a form that is not understood.
  bool retry_after_unreadable = false;
};

/// The parts of an upstream's answer that are returned to the caller.
struct upstream_response {
  int status = 0;
  std::string reason;
  std::string headers;  ///< End-to-end header lines, each with its CRLF.
  std::string body;
  std::string signature;  ///< The upstream's signature of this answer.
};

/// The result of an attempt at an upstream.
struct attempt_result {
  attempt_end end = attempt_end::kBroken;
  upstream_response reply;  ///< Set for kAnswered and kFailedAnswer.
  const char* why = "";     ///< Reason for logs; empty for kAnswered.
  upstream_notice notice;   ///< What the upstream said about itself.
  /// The answer names its request, so that a late copy of it can be told from
  /// the answer to another request.
  bool names_request = false;
};

/// The caller gets the upstream's own answer.
struct relayed_answer {
  upstream_response reply;
};

/// The caller gets the merged records of the shards that answered.
struct merged_answer {
  std::vector<std::string> signatures;  ///< One for each shard that answered.
  std::size_t missing = 0;              ///< Shards without an answer.
  std::string records;
};

/// The reason why the caller gets no answer from an upstream.
enum class refusal {
  kNoConfiguration,  ///< The instance has no configuration yet.
  kNoRoute,          ///< No route matches the request.
  kMalformed,        ///< The request cannot be forwarded.
  kTooLarge,         ///< The request exceeds the configured size.
  kNoUpstream,       ///< Too few upstreams are available.
  kAllRefused,       ///< Every upstream asked reports that it did not run.
  kFailed,           ///< May have run; no valid answer was received.
  kTimedOut,         ///< May have run; the deadline has passed.
  kExpired,          ///< The deadline passed before it was sent.
  kUnread,           ///< Not run; too many answers wait to be read.
  kNoMemory,         ///< Not run; there is no memory for its body.
  kStopping,         ///< Not run; this instance stops before it could end.
  kStopped,          ///< May have run; this instance stops too soon for it.
};

/// Returns the stable name of `cause`, such as "no_route".
const char* RefusalName(refusal cause);

/// Returns true if it is certain that the request has not run and never will.
bool IsProvenNotRun(refusal cause);

/// The caller gets an error from this instance.
struct refused_answer {
  refusal cause = refusal::kFailed;
  std::optional<std::chrono::milliseconds> retry_after;
};

using entry_answer =
    std::variant<relayed_answer, merged_answer, refused_answer>;

}  // namespace papayaglade

#endif  // PAPAYAGLADE_STATE_ENTRY_MESSAGES_H_
