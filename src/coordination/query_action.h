#ifndef PAPAYAGLADE_COORDINATION_QUERY_ACTION_H_
#define PAPAYAGLADE_COORDINATION_QUERY_ACTION_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "coordination/query_account.h"
#include "state/caller_messages.h"
#include "state/claim.h"
#include "state/shard_messages.h"
#include "state/time.h"

namespace papayaglade {

/// Sends `batch` to the steward. Attempts that cannot be sent are reported as
/// results that are proven not run.
struct send_batch {
  std::string steward;
  shard_batch batch;
  monotonic_time deadline;
};

/// Cancels attempts at the steward.
struct cancel_attempts {
  std::string steward;
  std::vector<std::uint64_t> attempt_ids;
};

/// Answers the caller.
struct settle_request {
  caller_outcome outcome;
  attempt_counts counts;
  request_class priority = request_class::kCounter;
};

/// Writes the claim of a request key if its version is still the expected one.
/// Expected version 0 creates the claim.
struct write_claim {
  std::string key;
  std::uint64_t expected_version = 0;
  claim value;
};

/// Reads the claim of a request key.
struct read_claim {
  std::string key;
};

/// An action that a run requests.
using query_action = std::variant<send_batch, cancel_attempts, settle_request,
                                  write_claim, read_claim>;
using query_actions = std::vector<query_action>;

}  // namespace papayaglade

#endif  // PAPAYAGLADE_COORDINATION_QUERY_ACTION_H_
