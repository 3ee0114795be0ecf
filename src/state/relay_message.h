#ifndef PAPAYAGLADE_STATE_RELAY_MESSAGE_H_
#define PAPAYAGLADE_STATE_RELAY_MESSAGE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "state/entry_messages.h"

namespace papayaglade {

/// One shard of a fan-out that another instance is to ask.
struct relay_leg {
  /// Number of the attempt within its run.
  std::uint64_t number = 0;
  std::string service;  ///< Without a line end.
};

/// Asks an instance in another data centre to send a request to upstreams of
/// its own data centre, and to return their merged records.
struct relay_request {
  std::uint64_t id = 0;  ///< Unique on its link.
  std::string route;     ///< Name of the route, for its usual latency.
  /// The caller's request; only `id`, `method`, `upstream_head` and `body` are
  /// sent.
  entry_request request;
  std::size_t top_records = 0;
  std::chrono::milliseconds time_left{0};
  /// After this time, the parts that are there are returned without waiting
  /// for the others.
  std::chrono::milliseconds flush_after{0};
  std::vector<relay_leg> legs;
};

/// The answer of one shard.
struct relay_part {
  std::uint64_t number = 0;  ///< See relay_leg.
  std::string signature;     ///< Without a line end.
  /// Time from the request to the upstream until its answer.
  std::chrono::milliseconds latency{0};
};

/// A shard whose attempt ended without an answer.
struct relay_end {
  std::uint64_t number = 0;  ///< See relay_leg.
  attempt_end end = attempt_end::kBroken;
};

/// What an upstream has said about itself in one of the answers.
struct relay_notice {
  std::string upstream;  ///< Its id.
  /// Start of its process; see upstream_record.
  std::int64_t start_time_ms = 0;
  bool leaving = false;
  /// See upstream_notice; zero if it asked for no pause.
  std::chrono::milliseconds retry_after{0};
};

/// Results of a relay_request that no earlier reply has named.
struct relay_reply {
  std::uint64_t id = 0;  ///< That of the relay_request.
  std::vector<relay_part> parts;
  /// The greatest records of all `parts`.
  std::string records;
  std::vector<relay_end> ends;
  std::vector<relay_notice> notices;
  /// The instance is about to stop and takes no further requests.
  bool stopping = false;
};

/// Tells that the results of some legs are no longer needed.
struct relay_cancel {
  std::uint64_t id = 0;  ///< That of the relay_request.
  std::vector<std::uint64_t> numbers;
};

/// Any message between an instance and one that relays for it.
using relay_message = std::variant<relay_request, relay_reply, relay_cancel>;

}  // namespace papayaglade

#endif  // PAPAYAGLADE_STATE_RELAY_MESSAGE_H_
